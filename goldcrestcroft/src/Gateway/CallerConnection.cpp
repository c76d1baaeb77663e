#include "CallerConnection.h"

#include "../Observability/Log.h"
#include "RequestRun.h"
#include "Traffic.h"

namespace goldcrestcroft {

namespace {

/** Bytes of a rejected request that are read away, so that the close does not
 * reset the connection before the caller has read the answer. */
constexpr std::size_t kMaxLingerBytes = 1U << 20U;
constexpr auto kLinger = std::chrono::milliseconds{ 300 };
/** A connection that has just been opened, or has just had an answer, may be
 * about to bring a request: one way between zones and a late loop. */
constexpr auto kFresh = std::chrono::milliseconds{ 200 };
/** What a connection's time is for. */
constexpr std::string_view kIdle = "idle";
constexpr std::string_view kHeader = "header";
constexpr std::string_view kBody = "body";
constexpr std::string_view kLastBytes = "last_bytes";

auto MalformedRequest(const std::string& aProblem) -> OwnAnswer
{
  return { .status_ = 400,
           .reason_ = "malformed",
           .message_ = "the request cannot be read: " + aProblem,
           .closes_ = true };
}

auto ToOwnAnswer(const boost::system::error_code& aError) -> OwnAnswer
{
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return { .status_ = 431,
             .reason_ = "header_too_large",
             .message_ = "the header is larger than allowed",
             .closes_ = true };
  }
  if (aError == http::error::body_limit) {
    return { .status_ = 413,
             .reason_ = "body_too_large",
             .message_ = "the body is larger than allowed",
             .closes_ = true };
  }
  return MalformedRequest(aError.message());
}

auto IsProtocolError(const boost::system::error_code& aError) -> bool
{
  return aError.category() ==
           make_error_code(http::error::bad_version).category() &&
         aError != http::error::end_of_stream &&
         aError != http::error::partial_message;
}

} // namespace

CallerConnection::CallerConnection(Tcp::socket aSocket, Traffic& aTraffic)
  : socket_(std::move(aSocket))
  , deadline_(socket_.get_executor(), [this] { return HasUnread(); })
  , traffic_(aTraffic)
  , limits_(aTraffic.Routing().Limits())
  , idleSince_(aTraffic.Now())
{
  SetSocketOptions(socket_);
}

auto CallerConnection::Limits() const -> ClientLimits
{
  const auto& now = traffic_.Routing().Limits();
  return { .maxHeaderBytes_ =
             std::max(limits_.maxHeaderBytes_, now.maxHeaderBytes_),
           .maxBodyBytes_ = std::max(limits_.maxBodyBytes_, now.maxBodyBytes_),
           .headerTimeout_ =
             std::max(limits_.headerTimeout_, now.headerTimeout_),
           .idleTimeout_ = std::max(limits_.idleTimeout_, now.idleTimeout_) };
}

auto CallerConnection::HasUnread() -> bool
{
  return socket_.is_open() && ProbeIdle(socket_) == IdleState::HasBytes;
}

auto CallerConnection::CloseAfter(Duration aTime, std::string_view aPhase,
                                  Duration aSpent) -> void
{
  deadline_.Arm(aTime - aSpent, [this, aTime, aPhase](auto aLate) {
    OnTimeOver(aTime, aLate, aPhase);
  });
}

auto CallerConnection::OnTimeOver(Duration aTime, Duration aLate,
                                  std::string_view aPhase) -> void
{
  // Looked up only now: a new configuration must not touch every connection.
  const auto limits = Limits();
  const auto allowed = aPhase == kIdle || aPhase == kBody ? limits.idleTimeout_
                       : aPhase == kHeader ? limits.headerTimeout_
                                           : Duration{};
  if (allowed > aTime + aLate) {
    CloseAfter(allowed, aPhase, aTime + aLate);
    return;
  }
  const auto unread = HasUnread();
  if (aPhase != kIdle || unread || !serving_.empty()) {
    Log::Write(LogLevel::Warning, "caller_timed_out",
               { { "phase", std::string(aPhase) },
                 { "late_ms", std::to_string(ToMilliseconds(aLate)) },
                 { "unread", unread ? "true" : "false" },
                 { "request", serving_ } });
  }
  traffic_.Metrics().Count("caller_timed_out_" + std::string(aPhase));
  whyCut_ = "timed_out_" + std::string(aPhase);
  Abort();
}

auto CallerConnection::Abort() -> void
{
  boost::system::error_code ignored;
  socket_.close(ignored);
  deadline_.Disarm();
}

auto CallerConnection::IsIdle() -> bool
{
  return idleSince_ && buffer_.size() == 0 &&
         ProbeIdle(socket_) != IdleState::HasBytes;
}

auto CallerConnection::CloseWhenIdle() -> void
{
  const auto fresh = idleSince_ && traffic_.Now() - *idleSince_ < kFresh;
  if (!fresh && IsIdle()) {
    Abort();
  }
}

auto CallerConnection::ReadRequest(CallerRequest& aRequest) -> Task<Intake>
{
  if (buffer_.size() == 0) {
    CloseAfter(Limits().idleTimeout_, kIdle);
    const auto [error] =
      co_await socket_.async_wait(Tcp::socket::wait_read, kAsTuple);
    if (error) {
      co_return Intake::Ended;
    }
  }
  idleSince_.reset();
  const auto limits = Limits();
  CloseAfter(limits.headerTimeout_, kHeader);
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes_));
  parser.body_limit(limits.maxBodyBytes_);
  auto [error, size] =
    co_await http::async_read_header(socket_, buffer_, parser, kAsTuple);
  if (error && IsProtocolError(error)) {
    co_return co_await Reject(ToOwnAnswer(error));
  }
  if (error) {
    co_return Intake::Ended;
  }
  if (parser.get()[http::field::expect] == "100-continue") {
    http::response<http::empty_body> go(http::status::continue_, 11);
    co_await http::async_write(socket_, go, kAsTuple);
  }
  while (!parser.is_done()) {
    // Each part of the body may take as long as a connection may be idle.
    CloseAfter(Limits().idleTimeout_, kBody);
    std::tie(error, size) =
      co_await http::async_read_some(socket_, buffer_, parser, kAsTuple);
    if (error && IsProtocolError(error)) {
      co_return co_await Reject(ToOwnAnswer(error));
    }
    if (error) {
      co_return Intake::Ended;
    }
  }
  deadline_.Disarm();
  aRequest = parser.release();
  co_return Intake::Whole;
}

auto CallerConnection::Reject(OwnAnswer aAnswer) -> Task<Intake>
{
  traffic_.NoteRejected(aAnswer);
  auto answer = traffic_.MakeAnswer(aAnswer, "");
  co_await SendWhole(std::move(answer));
  co_await Linger();
  co_return Intake::Rejected;
}

auto CallerConnection::Linger() -> Task<void>
{
  boost::system::error_code ignored;
  socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  CloseAfter(kLinger, kLastBytes);
  char bytes[4096];
  for (std::size_t total = 0; total < kMaxLingerBytes;) {
    const auto [error, size] =
      co_await socket_.async_read_some(asio::buffer(bytes), kAsTuple);
    if (error) {
      break;
    }
    total += size;
  }
  Abort();
}

auto CallerConnection::WatchForClose(std::shared_ptr<RequestRun> aRun) -> void
{
  if (buffer_.size() > 0) {
    return; // The next request is here already: the caller is not gone.
  }
  const auto watch = ++watch_;
  socket_.async_wait(
    Tcp::socket::wait_read,
    [self = shared_from_this(), run = std::move(aRun), watch](auto aError) {
      if (aError || watch != self->watch_) {
        return;
      }
      if (ProbeIdle(self->socket_) == IdleState::Closed) {
        run->OnCallerGone();
      }
    });
}

auto CallerConnection::Run() -> Task<void>
{
  const auto self = shared_from_this();
  for (;;) {
    CallerRequest request;
    idleSince_ = traffic_.Now();
    limits_ = traffic_.Routing().Limits();
    const auto intake = co_await ReadRequest(request);
    if (intake != Intake::Whole) {
      break;
    }
    const auto callerKeeps = request.keep_alive();
    const auto run =
      std::make_shared<RequestRun>(traffic_, self, std::move(request));
    serving_ = run->Id();
    WatchForClose(run);
    const auto goesOn = co_await Serve(run);
    serving_.clear();
    ++watch_;
    if (!goesOn || !callerKeeps || saidClose_ || !socket_.is_open()) {
      break;
    }
    boost::system::error_code ignored;
    socket_.cancel(ignored); // Ends the watch.
  }
  if (socket_.is_open()) {
    boost::system::error_code ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  }
  Abort();
  traffic_.OnCallerEnd(self);
}

} // namespace goldcrestcroft

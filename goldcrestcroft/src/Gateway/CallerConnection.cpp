#include "CallerConnection.h"

#include "../Observability/Log.h"
#include "RequestRun.h"
#include "Traffic.h"

namespace goldcrestcroft {

namespace {

/** Bytes after the last answer that are read away, as much as a request that
 * was rejected may still send. */
constexpr std::size_t kMaxLingerBytes = 1U << 20U;
constexpr auto kLinger = std::chrono::milliseconds{ 300 };
/** A connection that has just been opened, or has just had an answer, may be
 * about to bring a request: one way between zones and a late loop. */
constexpr auto kFresh = std::chrono::milliseconds{ 200 };

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

/** What the task fails with, if it does. */
auto Try(Task<void> aTask) -> Task<std::optional<std::string>>
{
  try {
    co_await std::move(aTask);
  } catch (const std::exception& aProblem) {
    co_return aProblem.what();
  } catch (...) {
    co_return "an exception of another type";
  }
  co_return std::nullopt;
}

} // namespace

CallerConnection::CallerConnection(Tcp::socket aSocket, Traffic& aTraffic)
  : socket_(std::move(aSocket))
  , deadline_(socket_.get_executor(), [this] { return HasUnread(); })
  , traffic_(aTraffic)
  , answeredAt_(aTraffic.Now())
  , idleSince_(answeredAt_)
{
  // A caller that reads slowly leaves bytes unacknowledged for long; the time
  // for writing an answer bounds that.
  SetSocketOptions(socket_, { .unacknowledged_ = {} });
}

auto CallerConnection::End(CallerEnd aWhy, const std::string& aDetail) -> void
{
  if (!end_) {
    end_ = aWhy;
    whyEnded_ = aDetail.empty() ? ToString(aWhy) : aDetail;
    traffic_.Metrics().Count("caller_connections_" +
                             std::string(ToString(aWhy)));
    const auto unread = HasUnread();
    if (IsUnannounced(aWhy) || unread) {
      Log::Write(LogLevel::Info, "caller_connection_ended",
                 { { "why", std::string(ToString(aWhy)) },
                   { "detail", aDetail },
                   { "unread", unread ? "true" : "false" },
                   { "request", serving_ },
                   { "since_answer_ms", std::to_string(ToMilliseconds(
                                          traffic_.Now() - answeredAt_)) } });
    }
  }
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
    End(CallerEnd::HostStops);
  }
}

auto CallerConnection::ReadRequest(CallerRequest& aRequest) -> Task<Intake>
{
  if (buffer_.size() == 0) {
    CloseAfter(Limits().idleTimeout_, kIdlePhase);
    const auto [error] =
      co_await socket_.async_wait(Tcp::socket::wait_read, kAsTuple);
    if (error) {
      co_return Intake::Ended;
    }
  }
  idleSince_.reset();
  const auto limits = Limits();
  CloseAfter(limits.headerTimeout_, kHeaderPhase);
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
    CloseAfter(Limits().idleTimeout_, kBodyPhase);
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
  co_return Intake::Rejected;
}

auto CallerConnection::Linger() -> Task<void>
{
  boost::system::error_code ignored;
  socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  deadline_.Arm(kLinger, [this](auto) {
    boost::system::error_code alreadyClosed;
    socket_.close(alreadyClosed);
  });
  char bytes[4096];
  for (std::size_t total = 0; total < kMaxLingerBytes;) {
    const auto [error, size] =
      co_await socket_.async_read_some(asio::buffer(bytes), kAsTuple);
    if (error) {
      break;
    }
    total += size;
  }
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

auto CallerConnection::ServeAll() -> Task<void>
{
  for (;;) {
    CallerRequest request;
    answeredAt_ = traffic_.Now();
    idleSince_ = answeredAt_;
    saidClose_ = false;
    answering_ = false;
    answered_ = false;
    const auto intake = co_await ReadRequest(request);
    if (intake == Intake::Ended) {
      End(CallerEnd::CallerClosed);
      co_return;
    }
    if (intake == Intake::Rejected) {
      co_await Linger();
      End(CallerEnd::Rejected);
      co_return;
    }
    const auto callerKeeps = request.keep_alive();
    auto run = std::make_shared<RequestRun>(traffic_, shared_from_this(),
                                            std::move(request));
    serving_ = run->Id();
    WatchForClose(run);
    const auto goesOn = co_await Serve(run);
    run.reset();
    serving_.clear();
    ++watch_;
    if (end_) {
      co_return;
    }
    if (!answered_) {
      End(CallerEnd::AnswerUnwritten, whyEnded_);
      co_return;
    }
    boost::system::error_code ignored;
    socket_.cancel(ignored); // Ends the watch.
    if (!goesOn || !callerKeeps || saidClose_) {
      co_await Linger();
      End(callerKeeps ? CallerEnd::Announced : CallerEnd::CallerAsked);
      co_return;
    }
  }
}

auto CallerConnection::Run() -> Task<void>
{
  const auto self = shared_from_this();
  auto serving = ServeAll();
  const auto problem = co_await Try(std::move(serving));
  if (problem && !idleSince_) {
    auto answering = AnswerFailure(*problem);
    co_await Try(std::move(answering));
    auto lingering = Linger();
    co_await Try(std::move(lingering));
  }
  if (problem) {
    End(CallerEnd::Failed, *problem);
  }
  traffic_.OnCallerEnd(self);
}

} // namespace goldcrestcroft

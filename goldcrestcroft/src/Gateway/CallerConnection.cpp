#include "CallerConnection.h"

#include "../Observability/Log.h"
#include "RequestRun.h"
#include "Traffic.h"

namespace goldcrestcroft {

namespace {

/** Maximum bytes discarded after the last response: as much as a rejected
 * request may still send. */
constexpr std::size_t kMaxLingerBytes = 1U << 20U;
constexpr auto kLingerTimeout = std::chrono::milliseconds{ 300 };
/** A connection that was just opened, or just received a response, may have a
 * request on its way. Covers one network transit between zones and a late event
 * loop. */
constexpr auto kNewRequestGrace = std::chrono::milliseconds{ 200 };

auto MalformedRequest(const std::string& aProblem) -> LocalReply
{
  return { .status_ = 400,
           .reason_ = "malformed",
           .message_ = "the request cannot be read: " + aProblem,
           .closes_ = true };
}

auto ToLocalReply(const boost::system::error_code& aError) -> LocalReply
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

/** Runs the task; returns the text of the exception that ended it, if any. */
auto RunCatching(Task<void> aTask) -> Task<std::optional<std::string>>
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
  , lastResponseAt_(aTraffic.Now())
  , idleSince_(lastResponseAt_)
{
  // A caller that reads slowly leaves bytes unacknowledged for long. The system
  // default applies here; the timeout for writing a response is the bound.
  SetSocketOptions(socket_, { .unacknowledgedTimeout_ = {} });
}

auto CallerConnection::End(CallerCloseReason aReason,
                           const std::string& aDetail) -> void
{
  if (!closeReason_) {
    closeReason_ = aReason;
    closeDetail_ = aDetail.empty() ? ToString(aReason) : aDetail;
    traffic_.Metrics().Count("caller_connections_" +
                             std::string(ToString(aReason)));
    const auto unread = HasUnread();
    if (IsUnannounced(aReason) || unread) {
      Log::Write(
        LogLevel::Info, "caller_connection_ended",
        { { "why", std::string(ToString(aReason)) },
          { "detail", aDetail },
          { "unread", unread ? "true" : "false" },
          { "request", requestId_ },
          { "since_answer_ms", std::to_string(ToMilliseconds(
                                 traffic_.Now() - lastResponseAt_)) } });
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
  const auto mayReceiveRequest =
    idleSince_ && traffic_.Now() - *idleSince_ < kNewRequestGrace;
  if (!mayReceiveRequest && IsIdle()) {
    End(CallerCloseReason::HostStops);
  }
}

auto CallerConnection::ReadRequest(CallerRequest& aRequest) -> Task<ReadOutcome>
{
  if (buffer_.size() == 0) {
    CloseAfter(Limits().idleTimeout_, kIdlePhase);
    const auto [error] =
      co_await socket_.async_wait(Tcp::socket::wait_read, kAsTuple);
    if (error) {
      co_return ReadOutcome::NoRequest;
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
    co_return co_await Reject(ToLocalReply(error));
  }
  if (error) {
    co_return ReadOutcome::NoRequest;
  }
  if (parser.get()[http::field::expect] == "100-continue") {
    http::response<http::empty_body> proceed(http::status::continue_, 11);
    co_await http::async_write(socket_, proceed, kAsTuple);
  }
  while (!parser.is_done()) {
    // The idle timeout applies to each read of the body.
    CloseAfter(Limits().idleTimeout_, kBodyPhase);
    std::tie(error, size) =
      co_await http::async_read_some(socket_, buffer_, parser, kAsTuple);
    if (error && IsProtocolError(error)) {
      co_return co_await Reject(ToLocalReply(error));
    }
    if (error) {
      co_return ReadOutcome::NoRequest;
    }
  }
  deadline_.Disarm();
  aRequest = parser.release();
  co_return ReadOutcome::Complete;
}

auto CallerConnection::Reject(LocalReply aReply) -> Task<ReadOutcome>
{
  traffic_.RecordRejected(aReply);
  auto response = traffic_.MakeAnswer(aReply, "");
  co_await SendResponse(std::move(response));
  co_return ReadOutcome::Rejected;
}

auto CallerConnection::Linger() -> Task<void>
{
  boost::system::error_code ignored;
  socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  deadline_.Arm(kLingerTimeout, [this](auto) {
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
    return; // The next request has arrived already, so the caller is connected.
  }
  const auto watchId = ++watchId_;
  socket_.async_wait(
    Tcp::socket::wait_read,
    [self = shared_from_this(), run = std::move(aRun), watchId](auto aError) {
      if (aError || watchId != self->watchId_) {
        return;
      }
      if (ProbeIdle(self->socket_) == IdleState::Closed) {
        run->OnCallerGone();
      }
    });
}

auto CallerConnection::ServeRequests() -> Task<void>
{
  for (;;) {
    CallerRequest request;
    lastResponseAt_ = traffic_.Now();
    idleSince_ = lastResponseAt_;
    announcedClose_ = false;
    responseStarted_ = false;
    responseSent_ = false;
    const auto outcome = co_await ReadRequest(request);
    if (outcome == ReadOutcome::NoRequest) {
      End(CallerCloseReason::CallerClosed);
      co_return;
    }
    if (outcome == ReadOutcome::Rejected) {
      co_await Linger();
      End(CallerCloseReason::Rejected);
      co_return;
    }
    const auto callerKeepsAlive = request.keep_alive();
    auto run = std::make_shared<RequestRun>(traffic_, shared_from_this(),
                                            std::move(request));
    requestId_ = run->Id();
    WatchForClose(run);
    const auto reusable = co_await Serve(run);
    run.reset();
    requestId_.clear();
    ++watchId_;
    if (closeReason_) {
      co_return;
    }
    if (!responseSent_) {
      End(CallerCloseReason::ResponseUnwritten, closeDetail_);
      co_return;
    }
    boost::system::error_code ignored;
    socket_.cancel(ignored); // Ends the wait of WatchForClose().
    if (!reusable || !callerKeepsAlive || announcedClose_) {
      co_await Linger();
      End(callerKeepsAlive ? CallerCloseReason::Announced
                           : CallerCloseReason::CallerAsked);
      co_return;
    }
  }
}

auto CallerConnection::Run() -> Task<void>
{
  const auto self = shared_from_this();
  auto serving = ServeRequests();
  const auto problem = co_await RunCatching(std::move(serving));
  if (problem && !idleSince_) {
    auto answering = SendFailureResponse(*problem);
    co_await RunCatching(std::move(answering));
    auto lingering = Linger();
    co_await RunCatching(std::move(lingering));
  }
  if (problem) {
    End(CallerCloseReason::Failed, *problem);
  }
  traffic_.OnCallerEnd(self);
}

} // namespace goldcrestcroft

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
  boost::system::error_code error;
  const auto peer = socket_.remote_endpoint(error);
  if (!error && peer.address().is_v4()) {
    client_ = peer.address().to_v4().to_uint();
  }
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
    // A flood of clients must not become a flood of lines.
    const auto flooded = aReason == CallerCloseReason::EvictedIncomplete &&
                         !traffic_.Throttle().OnEvent(
                           std::string(ToString(aReason)), traffic_.Now());
    if (!flooded && (IsUnannounced(aReason) || unread)) {
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

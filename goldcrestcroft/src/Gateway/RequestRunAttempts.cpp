#include "../Core/HttpSyntax.h"
#include "../Observability/Log.h"
#include "HopHeaders.h"
#include "RequestRun.h"

#include <algorithm>
#include <sstream>

namespace goldcrestcroft {

namespace {

/** Interval of the checks whether another engine can take the request. */
constexpr Duration kRecheckInterval = std::chrono::milliseconds{ 250 };

} // namespace

auto RequestRun::HasAttemptsLeft() const -> bool
{
  return route_->IsIdempotent() && attempts_.ran_ + 1 < route_->maxAttempts_;
}

auto RequestRun::HeadTimeout() const -> Duration
{
  const auto& options = traffic_.Options();
  const auto left = TimeLeft();
  if (!HasAttemptsLeft()) {
    return left;
  }
  const auto scale = [](Duration aTime, double aBy) {
    return Duration(
      static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aBy));
  };
  if (route_->kind_ == RouteKind::Streaming) {
    return std::min(
      left, std::max(options.minHeadTimeout_,
                     scale(route_->objective_, options.headObjectives_)));
  }
  return scale(left, options.firstAttemptShare_);
}

auto RequestRun::TryReserveRetry() -> bool
{
  std::vector<EngineEntry> entries;
  if (!HasAttemptsLeft() || IsQuarantined() || Candidates(entries).empty()) {
    return false;
  }
  retryReserved_ = retryReserved_ || traffic_.TryTakeRetry(service_);
  return retryReserved_;
}

auto RequestRun::CloseIfSilent(const EngineLease& aLease, Duration aTime)
  -> void
{
  aLease.connection_->CloseAfter(aTime, [weak = weak_from_this()]() {
    const auto self = weak.lock();
    // The slow engine is kept as long as there is no alternative.
    return !self || self->TryReserveRetry()
             ? Duration{}
             : std::min<Duration>(kRecheckInterval, self->TimeLeft());
  });
}

auto RequestRun::PauseIfSilent(const EngineLease& aLease, Duration aTime)
  -> void
{
  aLease.connection_->PauseAfter(aTime, [weak = weak_from_this()]() {
    const auto self = weak.lock();
    // The deadline has a timer of its own.
    return !self || self->TryReserveRetry() ? Duration{} : kRecheckInterval;
  });
}

auto RequestRun::Attempt(std::shared_ptr<EngineState> aEngine)
  -> Task<AttemptOutcome>
{
  const auto& entry = aEngine->entry_;
  tried_.insert(entry.id_);
  // Plain services accept few connections from all hosts together. Engines of
  // streams accept far more than the hosts use, so theirs are not checked.
  const auto isStream = route_->kind_ == RouteKind::Streaming;
  // While an attempt is parked, a connection that the engine would reset is not
  // used, and there is no wait for a permit.
  const OpenOptions openOptions{ .verifyNew_ = !isStream || parked_,
                                 .once_ = !HasAttemptsLeft(),
                                 .maxWait_ = parked_ ? Duration{} : maxWait_ };
  const auto lease = co_await traffic_.Pool().Open(aEngine, openOptions);
  if (!lease.connection_) {
    co_return lease.denied_ ? AttemptOutcome::Denied
                            : AttemptOutcome::Unreachable;
  }
  // Either may have changed while the connection was opened.
  if (aborted_ != Aborted::No || CheckQuarantined()) {
    traffic_.Pool().Drop(lease);
    co_return AttemptOutcome::Unreachable;
  }
  if (ParkedIsReadable()) {
    traffic_.Pool().Drop(lease);
    tried_.erase(entry.id_);
    co_return AttemptOutcome::Unreachable;
  }
  lastEngine_ = entry.id_;
  current_ = lease.connection_;
  const auto end = co_await SendRequest(lease);
  current_.reset();
  LogAttempt(lease, end);
  co_return end;
}

auto RequestRun::LogAttempt(const EngineLease& aLease, AttemptOutcome aEnd)
  -> void
{
  const auto& connection = *aLease.connection_;
  lastReceivedAt_ = std::max(lastReceivedAt_, connection.LastActivityAt());
  if (aEnd == AttemptOutcome::Delivered) {
    return;
  }
  Log::Write(
    LogLevel::Info, "attempt_ended",
    { { "request", requestId_ },
      { "engine", aLease.engine_->entry_.id_ },
      { "end", ToString(aEnd) },
      { "kept", aLease.idleFor_ ? "true" : "false" },
      { "rested_ms",
        std::to_string(ToMilliseconds(aLease.idleFor_.value_or(Duration{}))) },
      { "timed_out", connection.TimedOut() ? "true" : "false" },
      { "unread", connection.HadUnreadAtTimeout() ? "true" : "false" },
      { "framing", ToString(lastEnd_.framing_) },
      { "connection", ToString(lastEnd_.connection_) },
      { "body_bytes", std::to_string(lastEnd_.bodyBytes_) },
      { "events", std::to_string(lastEnd_.events_) },
      { "unfinished_bytes", std::to_string(lastEnd_.unfinishedBytes_) },
      { "broken_off", ToString(lastEnd_.brokenOff_) },
      { "invalid", ToString(lastEnd_.defect_) },
      { "silent_ms", std::to_string(ToMilliseconds(
                       traffic_.Now() - connection.LastActivityAt())) },
      { "left_ms", std::to_string(ToMilliseconds(TimeLeft())) } });
}

auto RequestRun::BuildForwardedRequest(const EngineEntry& aEngine) const
  -> std::string
{
  const auto& names = traffic_.Codec().Headers();
  http::request<http::string_body> forwarded;
  forwarded.version(11);
  forwarded.method_string(request_.method_string());
  forwarded.target(request_.target());
  std::vector<std::string> nominated;
  for (const auto token :
       http::token_list{ request_[http::field::connection] }) {
    nominated.emplace_back(token);
  }
  for (const auto& field : request_) {
    const auto name = field.name_string();
    const auto dropped =
      IsHopByHop(field.name()) || IsNamed(names.systemOnly_, name) ||
      beast::iequals(name, names.timeLeft_) ||
      (IsNamed(nominated, name) && !IsNamed(names.endToEnd_, name));
    if (!dropped) {
      forwarded.insert(name, field.value());
    }
  }
  // The engine gets the time that the caller still waits, even if the route
  // allows more.
  const auto left = std::max<Duration>(TimeLeft(), Duration{});
  forwarded.set(
    names.timeLeft_,
    std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(left).count()));
  forwarded.set(names.expectEngine_, aEngine.id_);
  if (!workspace_.empty()) {
    forwarded.set(names.workspace_, ToFieldValue(workspace_));
  }
  if (relay_.ForwardedId()) {
    forwarded.set(names.lastEventId_, *relay_.ForwardedId());
  }
  if (graph_) {
    const auto inputs = graph_->FinalInputs();
    std::string list;
    for (const auto& handle : inputs) {
      list += (list.empty() ? "" : ",") + handle;
    }
    if (!list.empty()) {
      forwarded.set(names.stageInputs_, list);
    }
  }
  forwarded.body() = request_.body();
  forwarded.prepare_payload();
  std::ostringstream bytes;
  bytes << forwarded;
  return std::move(bytes).str();
}

auto RequestRun::SendRequest(const EngineLease& aLease) -> Task<AttemptOutcome>
{
  const auto began = traffic_.Now();
  const auto exchange = std::make_shared<EngineExchange>(
    aLease, traffic_.Codec().Headers(), traffic_.Pool().Memory());
  CloseIfSilent(aLease, HeadTimeout());
  outcomeUnknown_ = true;
  lastEventAt_ = TimePoint::max();
  auto forwarded = BuildForwardedRequest(aLease.engine_->entry_);
  PrepareStream(aLease.engine_->entry_);
  if (aLease.engine_->limit_) {
    traffic_.Metrics().Count("requests_to_limited_engines");
  }
  ++aLease.engine_->ownRequests_;
  // If an attempt is parked, the retry reserved for it is this request.
  retryReserved_ = retryReserved_ && !parked_;
  const auto written =
    co_await aLease.connection_->BeginWrite(std::move(forwarded));
  if (!written) {
    FinishExchange(*exchange, AttemptOutcome::Lost, began);
    co_return AttemptOutcome::Lost;
  }
  co_return co_await ReceiveResponse(exchange, began);
}

} // namespace goldcrestcroft

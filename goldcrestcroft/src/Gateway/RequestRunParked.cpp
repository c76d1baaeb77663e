#include "../Observability/Log.h"
#include "RequestRun.h"

namespace goldcrestcroft {

namespace {

auto LogParked(std::string_view aEvent, const std::string& aRequest,
               const EngineLease& aLease, TimePoint aNow) -> void
{
  const auto silent = aNow - aLease.connection_->LastActivityAt();
  Log::Write(LogLevel::Info, aEvent,
             { { "request", aRequest },
               { "engine", aLease.engine_->entry_.id_ },
               { "silent_ms", std::to_string(ToMilliseconds(silent)) } });
}

} // namespace

auto RequestRun::Park(std::shared_ptr<EngineExchange> aExchange,
                      TimePoint aBegan) -> AttemptOutcome
{
  const auto& lease = aExchange->Lease();
  LogParked("engine_parked", requestId_, lease, traffic_.Now());
  // Ends a wait for stages: their results are not needed if this engine sends
  // data again.
  lease.connection_->Socket().async_wait(
    Tcp::socket::wait_read, [weak = weak_from_this()](auto aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        self->wake_.cancel();
      }
    });
  lastEnd_ = {};
  const auto sendsNoEvents = lease.connection_->LastActivityAt() > lastEventAt_;
  parked_ = { .exchange_ = std::move(aExchange),
              .began_ = aBegan,
              .sendsNoEvents_ = sendsNoEvents };
  return AttemptOutcome::Parked;
}

auto RequestRun::ParkedIsReadable() -> bool
{
  if (!parked_) {
    return false;
  }
  auto& connection = *parked_->exchange_->Lease().connection_;
  if (!connection.IsOpen()) {
    return true;
  }
  const auto state = ProbeIdle(connection.Socket());
  return state == IdleState::Closed ||
         (state == IdleState::HasBytes && !parked_->sendsNoEvents_);
}

auto RequestRun::FallBackToParked(std::optional<AttemptOutcome> aTried)
  -> Task<std::optional<AttemptOutcome>>
{
  if (aborted_ != Aborted::No) {
    stopReason_ = "aborted";
    co_return std::nullopt;
  }
  if (aTried && WasSent(*aTried)) {
    traffic_.Metrics().CountAttempt(service_, ToString(*aTried));
    attempts_ = Count(attempts_, *aTried);
  }
  std::vector<EngineEntry> others;
  const auto reproduces =
    aTried == AttemptOutcome::InputsLost && graph_ &&
    attempts_.reproduced_ <= AttemptLimits{}.maxReproduced_ &&
    !Candidates(others).empty() && traffic_.TryTakeRetry(service_);
  if (reproduces) {
    retryReserved_ = true;
    graph_->OnFinalInputsLost();
    if (streamBegun_) {
      stageDue_->OnResumed(traffic_.Now());
    }
    co_return AttemptOutcome::Parked;
  }
  stageProblem_.reset();
  stopReason_.clear();
  co_return co_await ResumeParked();
}

auto RequestRun::ResumeParked() -> Task<AttemptOutcome>
{
  const auto exchange = parked_->exchange_;
  const auto began = parked_->began_;
  parked_.reset();
  const auto& lease = exchange->Lease();
  LogParked("engine_resumed", requestId_, lease, traffic_.Now());
  traffic_.Metrics().Count("engines_resumed");
  current_ = lease.connection_;
  lastEngine_ = lease.engine_->entry_.id_;
  const auto end = co_await ReceiveResponse(exchange, began);
  current_.reset();
  LogAttempt(lease, end);
  co_return end;
}

auto RequestRun::AbandonParked(AttemptOutcome aEnd) -> void
{
  const auto exchange = parked_->exchange_;
  const auto began = parked_->began_;
  parked_.reset();
  LogParked("engine_left", requestId_, exchange->Lease(), traffic_.Now());
  traffic_.Metrics().CountAttempt(service_, ToString(aEnd));
  attempts_ = Count(attempts_, aEnd);
  FinishExchange(*exchange, aEnd, began);
}

} // namespace goldcrestcroft

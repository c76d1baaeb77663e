#include "RequestRun.h"

namespace goldcrestcroft {

auto RequestRun::TryEngine() -> Task<std::optional<AttemptOutcome>>
{
  if (graph_) {
    const auto stages = co_await RunStages();
    if (stages != StagesOutcome::Completed) {
      stopReason_ =
        stages == StagesOutcome::Refused ? "stages_refused" : "aborted";
      co_return std::nullopt;
    }
    stagesDoneAt_ = traffic_.Now();
    co_await AwaitAssignment();
  }
  // It may have been quarantined while it waited or ran on another engine.
  if (CheckQuarantined()) {
    stopReason_ = "crashes_engines";
    co_return std::nullopt;
  }
  const auto engine = ChooseEngine();
  if (!engine) {
    stopReason_ = "no_engine";
    traffic_.OnNoEngine(service_);
    co_return std::nullopt;
  }
  const auto end = co_await Attempt(engine);
  EndAssignment();
  co_return end;
}

auto RequestRun::Execute() -> Task<bool>
{
  traffic_.CountRequest(service_);
  const auto& codec = traffic_.Codec();
  if (resumesStream_) {
    auto unknown = co_await FindVersion();
    if (aborted_ != Aborted::No) {
      co_return co_await RespondWithFailure(AttemptOutcome::Unreachable);
    }
    if (unknown) {
      co_return co_await SendLocalReply(std::move(*unknown));
    }
  }
  PlanHome();
  if (!route_->stages_.empty()) {
    const auto pieces =
      codec.ReadPieceCounts(Field(codec.Headers().pieceCounts_));
    auto refusal = RefuseIfEvacuated(pieces);
    if (!refusal) {
      refusal = RefuseByForecast(pieces);
    }
    if (refusal) {
      co_return co_await SendLocalReply(std::move(*refusal));
    }
    graph_.emplace(route_->stages_, pieces);
    stageDue_.emplace(arrivedAt_, route_->objective_);
    PlanStages();
  }
  for (;;) {
    auto tried = co_await TryEngine();
    if (parked_ && tried != AttemptOutcome::Parked) {
      tried = co_await FallBackToParked(tried);
    }
    if (tried == AttemptOutcome::Parked) {
      continue;
    }
    if (!tried) {
      const auto end = stopReason_ == "no_engine" ? AttemptOutcome::Unreachable
                                                  : AttemptOutcome::Abandoned;
      co_return co_await RespondWithFailure(end);
    }
    const auto end = *tried;
    unrecorded_ = end == AttemptOutcome::Unrecorded;
    traffic_.Metrics().CountAttempt(service_, ToString(end));
    attempts_ = Count(attempts_, end);
    if (end == AttemptOutcome::Delivered) {
      traffic_.AddResponseTime(route_->name_, traffic_.Now() - arrivedAt_);
      RecordOutcome("ok");
      co_return true;
    }
    // While the row of a stream is being written, it may not begin elsewhere.
    const auto isHeld = end == AttemptOutcome::Unrecorded &&
                        traffic_.Versions().HasRecord(IdOfStream());
    const auto next = aborted_ == Aborted::No && !isHeld
                        ? DecideNext(*route_, attempts_, end)
                        : NextStep::Stop;
    if (next == NextStep::ReproduceInputs && graph_) {
      graph_->OnFinalInputsLost();
      if (streamBegun_) {
        stageDue_->OnResumed(traffic_.Now());
      }
    }
    if (next == NextStep::Stop) {
      stopReason_ = aborted_ != Aborted::No ? "aborted"
                    : isHeld                ? "stream_not_recorded"
                                            : WhyStopped(*route_, end);
      co_return co_await RespondWithFailure(end);
    }
    const auto reserved = std::exchange(retryReserved_, false);
    if (WasSent(end) && !reserved && !traffic_.TryTakeRetry(service_)) {
      stopReason_ = "budget_used";
      co_return co_await RespondWithFailure(end);
    }
  }
}

} // namespace goldcrestcroft

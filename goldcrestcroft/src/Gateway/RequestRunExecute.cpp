#include "RequestRun.h"

namespace goldcrestcroft {

auto RequestRun::TryEngine() -> Task<std::optional<AttemptEnd>>
{
  if (graph_) {
    const auto made = co_await MakeStages();
    if (made != StageEnd::Made) {
      noMore_ = made == StageEnd::Refused ? "stages_refused" : "aborted";
      co_return std::nullopt;
    }
    stagesDoneAt_ = traffic_.Now();
  }
  // The verdict may have come while it waited or ran elsewhere.
  if (IsStoppedAsSuspect()) {
    noMore_ = "crashes_engines";
    co_return std::nullopt;
  }
  const auto engine = ChooseEngine();
  if (!engine) {
    noMore_ = "no_engine";
    co_return std::nullopt;
  }
  co_return co_await Attempt(engine);
}

auto RequestRun::Execute() -> Task<bool>
{
  traffic_.CountRequest(service_);
  const auto& codec = traffic_.Codec();
  prompt_ = codec.ReadPrompt(Field(codec.Headers().promptParts_));
  PlanHome();
  if (!route_->stages_.empty()) {
    const auto pieces =
      codec.ReadPieceCounts(Field(codec.Headers().pieceCounts_));
    auto refusal = RefuseByForecast(pieces);
    if (refusal) {
      co_return co_await Answer(std::move(*refusal));
    }
    graph_.emplace(route_->stages_, pieces);
    stageDue_.emplace(arrivedAt_, route_->objective_);
    PlanStages();
  }
  for (;;) {
    auto tried = co_await TryEngine();
    if (parked_ && tried != AttemptEnd::Parked) {
      tried = co_await ReturnToParked(tried);
    }
    if (tried == AttemptEnd::Parked) {
      continue;
    }
    if (!tried) {
      const auto end = noMore_ == "no_engine" ? AttemptEnd::Unreachable
                                              : AttemptEnd::Abandoned;
      co_return co_await Conclude(end);
    }
    const auto end = *tried;
    traffic_.Metrics().CountAttempt(service_, ToString(end));
    attempts_ = Count(attempts_, end);
    if (end == AttemptEnd::Delivered) {
      traffic_.NoteAnswerTime(route_->name_, traffic_.Now() - arrivedAt_);
      Finish("ok");
      co_return true;
    }
    const auto next = aborted_ == Aborted::No
                        ? DecideNext(*route_, attempts_, end)
                        : NextStep::Stop;
    if (next == NextStep::RemakeInputs && graph_) {
      graph_->OnFinalInputsGone();
      if (streamBegun_) {
        stageDue_->OnResumed(traffic_.Now());
      }
    }
    if (next == NextStep::Stop) {
      noMore_ = aborted_ != Aborted::No ? "aborted" : WhyStopped(*route_, end);
      co_return co_await Conclude(end);
    }
    const auto paid = std::exchange(repeatTaken_, false);
    if (WasSent(end) && !paid && !traffic_.TryRepeat(service_)) {
      noMore_ = "budget_used";
      co_return co_await Conclude(end);
    }
  }
}

} // namespace goldcrestcroft

#include "SoloQueue.h"

#include <algorithm>

namespace goldcrestcroft {

auto SoloQueue::Add(WorkItem aWork) -> bool
{
  if (queue_.size() >= options_.capacity_) {
    return false;
  }
  queue_.push_back(std::move(aWork));
  return true;
}

auto SoloQueue::Remove(const AttemptId& aAttempt) -> bool
{
  return std::erase_if(queue_, [&](const WorkItem& aWork) {
           return aWork.id_ == aAttempt;
         }) > 0;
}

auto SoloQueue::TakeInfeasible(TimePoint aNow) -> std::vector<WorkItem>
{
  return TakeIf([aNow](const WorkItem& aWork) {
    return aNow + aWork.reserve_ >= aWork.deadline_;
  });
}

auto SoloQueue::Next(TimePoint aNow) -> Step
{
  const auto expired = aNow - heldSince_ >= options_.hold_;
  const auto done = queue_.empty() || expired;
  switch (step_) {
    case Step::Idle:
      return (queue_.empty() && !mayHoldTurn_) || aNow < nextTry_
               ? Step::Idle
               : Step::TakeTurn;
    case Step::Reserve:
    case Step::Drain:
    case Step::Start:
      if (done) {
        step_ = Step::Release;
      } else if (step_ != Step::Reserve && queue_.front().pool_ != pool_) {
        // The next suspect needs a server of another pool; the turn is kept.
        step_ = Step::Reserve;
      }
      return step_;
    case Step::Release:
      return aNow < nextTry_ ? Step::Idle : Step::Release;
    default:
      return step_;
  }
}

auto SoloQueue::OnTurn(Turn aTurn, TimePoint aNow) -> void
{
  nextTry_ = aNow + options_.retry_;
  // A refusal does not settle an earlier attempt that had no reply.
  if (aTurn != Turn::Refused) {
    mayHoldTurn_ = aTurn == Turn::Unknown;
  }
  if (aTurn == Turn::Ours) {
    step_ = Step::Reserve;
    heldSince_ = aNow;
  }
}

auto SoloQueue::OnReserved(const std::optional<ServerId>& aServer,
                           TimePoint aNow) -> void
{
  if (!aServer) {
    step_ = Step::Release;
    return;
  }
  server_ = *aServer;
  pool_ = queue_.front().pool_;
  reservedAt_ = aNow;
  step_ = Step::Drain;
}

auto SoloQueue::OnEmpty(TimePoint aNow) -> void
{
  // Requests that peers sent before they learned of the reservation are in
  // their reported load only after the settling time.
  if (step_ == Step::Drain && aNow - reservedAt_ >= options_.settle_) {
    step_ = Step::Start;
  }
}

auto SoloQueue::OnStarted() -> void
{
  running_ = queue_.front().id_;
  queue_.pop_front();
  step_ = Step::Running;
}

auto SoloQueue::OnEnded(const AttemptId& aAttempt, bool aServerLost,
                        TimePoint aNow) -> void
{
  if (!IsRunning(aAttempt)) {
    return;
  }
  running_ = {};
  step_ = aServerLost ? Step::Reserve : Step::Start;
  if (queue_.empty() || aNow - heldSince_ >= options_.hold_) {
    step_ = Step::Release;
  }
}

auto SoloQueue::OnReleased(bool aConfirmed, TimePoint aNow) -> void
{
  pool_ = {};
  if (aConfirmed) {
    step_ = Step::Idle;
    nextTry_ = aNow + options_.yield_;
  } else {
    nextTry_ = aNow + options_.retry_;
  }
}

} // namespace goldcrestcroft

#include "EngineHealth.h"

#include <algorithm>
#include <utility>

namespace goldcrestcroft {

auto ToString(EngineFailure aFailure) -> std::string
{
  switch (aFailure) {
    case EngineFailure::Unreachable:
      return "unreachable";
    case EngineFailure::Unanswered:
      return "unanswered";
    case EngineFailure::Failed:
      break;
  }
  return "failed";
}

auto EngineHealth::OnSuccess() -> void
{
  consecutiveFailures_ = 0;
  suspensions_ = 0;
  lastFailure_ = EngineFailure::Failed;
  returned_ = false;
  failureShare_ *= 1.0 - options_.smoothing_;
}

auto EngineHealth::OnResponding(TimePoint aNow) -> void
{
  constexpr std::uint32_t kOnTrial = 1;
  lastFailure_ = EngineFailure::Failed;
  returned_ = true;
  suspensions_ = kOnTrial;
  failureShare_ = std::min(failureShare_, options_.lastResortShare_ / 2.0);
  suspendedUntil_ = std::min(suspendedUntil_, aNow);
}

auto EngineHealth::OnResponseBegun() -> void
{
  if (std::exchange(returned_, false)) {
    suspensions_ = 0;
  }
}

auto EngineHealth::OnFailure(EngineFailure aFailure, TimePoint aBegan,
                             TimePoint aNow) -> void
{
  if (aBegan < suspendedAt_ && !IsUsable(aNow)) {
    return;
  }
  returned_ = false;
  lastFailure_ = aFailure;
  if (aFailure == EngineFailure::Unreachable) {
    Suspend(aNow);
    return;
  }
  failureShare_ += (1.0 - failureShare_) * options_.smoothing_;
  ++consecutiveFailures_;
  if (consecutiveFailures_ >= options_.failuresToSuspend_ || suspensions_ > 0) {
    Suspend(aNow);
  }
}

auto EngineHealth::Suspend(TimePoint aNow) -> void
{
  suspendedAt_ = aNow;
  suspendedUntil_ = aNow + Doubled(options_.firstSuspension_, suspensions_++,
                                   options_.maxSuspension_);
  consecutiveFailures_ = 0;
}

} // namespace goldcrestcroft

#include "EngineHealth.h"

#include <algorithm>

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
  failureShare_ *= 1.0 - options_.smoothing_;
}

auto EngineHealth::OnFailure(EngineFailure aFailure, TimePoint aNow) -> void
{
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
  suspendedUntil_ = aNow + Doubled(options_.firstSuspension_, suspensions_++,
                                   options_.maxSuspension_);
  consecutiveFailures_ = 0;
}

} // namespace goldcrestcroft

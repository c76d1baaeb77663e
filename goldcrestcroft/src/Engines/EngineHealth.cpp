#include "EngineHealth.h"

#include <algorithm>

namespace goldcrestcroft {

auto EngineHealth::OnSuccess() -> void
{
  consecutiveFailures_ = 0;
  suspensions_ = 0;
  unreachable_ = false;
  failureShare_ *= 1.0 - options_.smoothing_;
}

auto EngineHealth::OnFailure(TimePoint aNow) -> void
{
  unreachable_ = false;
  failureShare_ += (1.0 - failureShare_) * options_.smoothing_;
  ++consecutiveFailures_;
  if (consecutiveFailures_ >= options_.failuresToSuspend_ || suspensions_ > 0) {
    Suspend(aNow);
  }
}

auto EngineHealth::OnUnreachable(TimePoint aNow) -> void
{
  unreachable_ = true;
  Suspend(aNow);
}

auto EngineHealth::Suspend(TimePoint aNow) -> void
{
  suspendedUntil_ = aNow + Doubled(options_.firstSuspension_, suspensions_++,
                                   options_.maxSuspension_);
  consecutiveFailures_ = 0;
}

} // namespace goldcrestcroft

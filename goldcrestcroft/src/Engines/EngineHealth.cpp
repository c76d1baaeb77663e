#include "EngineHealth.h"

#include <algorithm>

namespace goldcrestcroft {

auto EngineHealth::OnSuccess() -> void
{
  consecutive_ = 0;
  suspensions_ = 0;
  unreachable_ = false;
  failureShare_ *= 1.0 - options_.newShare_;
}

auto EngineHealth::OnFailure(TimePoint aNow) -> void
{
  unreachable_ = false;
  failureShare_ += (1.0 - failureShare_) * options_.newShare_;
  ++consecutive_;
  if (consecutive_ >= options_.failuresToSuspend_ || suspensions_ > 0) {
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
                                   options_.longestSuspension_);
  consecutive_ = 0;
}

} // namespace goldcrestcroft

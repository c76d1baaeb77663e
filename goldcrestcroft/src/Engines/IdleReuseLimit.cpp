#include "IdleReuseLimit.h"

#include <algorithm>

namespace goldcrestcroft {

auto IdleReuseLimit::OnLost(Duration aIdleFor, Duration aAfter, TimePoint aNow)
  -> bool
{
  if (aAfter > options_.resetsWithin_) {
    return false;
  }
  if (HasExpired(aNow)) {
    maxIdle_ = options_.safeIdle_;
    hold_ = options_.hold_;
  } else if (aNow >= holdUntil_) {
    hold_ = std::min(hold_ * 2, options_.maxHold_);
  }
  // Requests that were in flight together with the first lost one give no new
  // information.
  if (aIdleFor <= maxIdle_ || aNow >= holdUntil_) {
    holdUntil_ = aNow + hold_;
  }
  maxIdle_ = std::min(maxIdle_, aIdleFor / 2);
  return true;
}

auto IdleReuseLimit::Allows(Duration aIdleFor, bool aNonIdempotent,
                            TimePoint aNow) const -> bool
{
  return aIdleFor <= maxIdle_ ||
         aNow >= (aNonIdempotent ? holdUntil_ + hold_ : holdUntil_);
}

} // namespace goldcrestcroft

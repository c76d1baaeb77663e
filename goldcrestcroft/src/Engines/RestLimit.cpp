#include "RestLimit.h"

#include <algorithm>

namespace goldcrestcroft {

auto RestLimit::OnLost(Duration aRested, Duration aAfter, TimePoint aNow)
  -> bool
{
  if (aAfter > options_.resetsWithin_) {
    return false;
  }
  if (IsOver(aNow)) {
    longest_ = options_.safeRest_;
    hold_ = options_.hold_;
  } else if (aNow >= until_) {
    hold_ = std::min(hold_ * 2, options_.longestHold_);
  }
  // Requests that were under way beside the first one tell nothing new.
  if (aRested <= longest_ || aNow >= until_) {
    until_ = aNow + hold_;
  }
  longest_ = std::min(longest_, aRested / 2);
  return true;
}

auto RestLimit::Allows(Duration aRested, bool aOnce, TimePoint aNow) const
  -> bool
{
  return aRested <= longest_ || aNow >= (aOnce ? until_ + hold_ : until_);
}

} // namespace goldcrestcroft

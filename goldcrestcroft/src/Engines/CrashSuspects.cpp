#include "CrashSuspects.h"

namespace goldcrestcroft {

auto CrashSuspects::OnCrash(std::uint64_t aFingerprint, std::uint64_t aEngine,
                            TimePoint aNow) -> bool
{
  if (entries_.size() >= options_.capacity_) {
    std::erase_if(
      entries_, [&](const auto& aItem) { return aItem.second.until_ <= aNow; });
    if (entries_.size() >= options_.capacity_) {
      return false;
    }
  }
  auto& entry = entries_[aFingerprint];
  entry.until_ = aNow + options_.rememberFor_;
  return entry.engines_.insert(aEngine).second;
}

auto CrashSuspects::OnCompleted(std::uint64_t aFingerprint) -> bool
{
  const auto found = entries_.find(aFingerprint);
  if (found == entries_.end()) {
    return false;
  }
  auto& entry = found->second;
  const auto counted = entry.engines_.size() > entry.forgiven_;
  entry.forgiven_ = entry.engines_.size();
  return counted;
}

auto CrashSuspects::IsHeldBack(std::uint64_t aFingerprint, TimePoint aNow) const
  -> bool
{
  const auto found = entries_.find(aFingerprint);
  return found != entries_.end() && aNow < found->second.until_ &&
         found->second.engines_.size() - found->second.forgiven_ >=
           options_.crashesToHold_;
}

} // namespace goldcrestcroft

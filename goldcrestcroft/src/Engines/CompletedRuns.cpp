#include "CompletedRuns.h"

namespace goldcrestcroft {

auto CompletedRuns::Add(std::uint64_t aRequest, TimePoint aNow) -> void
{
  if (const auto found = index_.find(aRequest); found != index_.end()) {
    found->second->endedAt_ = aNow;
    entries_.splice(entries_.end(), entries_, found->second);
    return;
  }
  if (!entries_.empty() && entries_.size() >= options_.capacity_) {
    index_.erase(entries_.front().request_);
    entries_.pop_front();
  }
  entries_.push_back({ .request_ = aRequest, .endedAt_ = aNow });
  index_[aRequest] = std::prev(entries_.end());
}

auto CompletedRuns::IsKnownSince(std::uint64_t aRequest, TimePoint aSince,
                                 TimePoint aNow) const -> bool
{
  const auto found = index_.find(aRequest);
  return found != index_.end() && found->second->endedAt_ > aSince &&
         aNow < found->second->endedAt_ + options_.rememberFor_;
}

} // namespace goldcrestcroft

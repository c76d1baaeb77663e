#include "CompletedRuns.h"

namespace goldcrestcroft {

auto CompletedRuns::Add(std::uint64_t aRequest, TimePoint aNow) -> void
{
  if (const auto found = index_.find(aRequest); found != index_.end()) {
    found->second->completedAt_ = aNow;
    entries_.splice(entries_.end(), entries_, found->second);
    return;
  }
  if (!entries_.empty() && entries_.size() >= options_.capacity_) {
    index_.erase(entries_.front().request_);
    entries_.pop_front();
  }
  entries_.push_back({ .request_ = aRequest, .completedAt_ = aNow });
  index_[aRequest] = std::prev(entries_.end());
}

auto CompletedRuns::HasCompletedSince(std::uint64_t aRequest, TimePoint aSince,
                                      TimePoint aNow) const -> bool
{
  const auto found = index_.find(aRequest);
  return found != index_.end() && found->second->completedAt_ > aSince &&
         aNow < found->second->completedAt_ + options_.retention_;
}

} // namespace goldcrestcroft

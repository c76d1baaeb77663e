#include "GossipBuffer.h"

#include <algorithm>

namespace goldcrestcroft {

auto GossipBuffer::Take(std::size_t aMax) -> std::vector<QuarantineUpdate>
{
  std::vector<Entry*> order;
  order.reserve(entries_.size());
  for (auto& [fingerprint, entry] : entries_) {
    order.push_back(&entry);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const Entry* aLeft, const Entry* aRight) {
                     return aLeft->remaining_ > aRight->remaining_;
                   });
  order.resize(std::min(order.size(), aMax));
  std::vector<QuarantineUpdate> updates;
  updates.reserve(order.size());
  for (auto* entry : order) {
    updates.push_back(entry->update_);
    --entry->remaining_;
  }
  std::erase_if(entries_,
                [](const auto& aItem) { return aItem.second.remaining_ == 0; });
  return updates;
}

auto GossipBuffer::HasUnsent() const -> bool
{
  return std::any_of(
    entries_.begin(), entries_.end(), [this](const auto& aItem) {
      return aItem.second.remaining_ == options_.transmissions_;
    });
}

} // namespace goldcrestcroft

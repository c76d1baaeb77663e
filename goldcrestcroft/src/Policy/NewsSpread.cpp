#include "NewsSpread.h"

#include <algorithm>

namespace goldcrestcroft {

auto NewsSpread::Take(std::size_t aMost) -> std::vector<PoisonNews>
{
  std::vector<Entry*> order;
  order.reserve(entries_.size());
  for (auto& [fingerprint, entry] : entries_) {
    order.push_back(&entry);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const Entry* aLeft, const Entry* aRight) {
                     return aLeft->left_ > aRight->left_;
                   });
  order.resize(std::min(order.size(), aMost));
  std::vector<PoisonNews> news;
  news.reserve(order.size());
  for (auto* entry : order) {
    news.push_back(entry->news_);
    --entry->left_;
  }
  std::erase_if(entries_,
                [](const auto& aItem) { return aItem.second.left_ == 0; });
  return news;
}

auto NewsSpread::HasFresh() const -> bool
{
  return std::any_of(entries_.begin(), entries_.end(),
                     [this](const auto& aItem) {
                       return aItem.second.left_ == options_.repeats_;
                     });
}

} // namespace goldcrestcroft

#include "LimitTable.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** An update that was sent fewer times than this counts as new. With hosts
 * that each send to three others, updates reach 640 hosts in fewer rounds. */
constexpr std::uint32_t kNewUpdateSends = 8;

} // namespace

auto LimitTable::ToLimit(const Item& aItem) -> EngineLimit
{
  const auto& [incarnation, entry] = aItem;
  return { .engine_ = incarnation.first,
           .startedAt_ = incarnation.second,
           .perSecond_ = entry.perSecond_,
           .statedAt_ = entry.statedAt_ };
}

auto LimitTable::Merge(EngineLimit aUpdate, TimePoint aNow) -> MergeResult
{
  aUpdate.statedAt_ = std::min(aUpdate.statedAt_, aNow);
  const EngineIncarnation incarnation(aUpdate.engine_, aUpdate.startedAt_);
  auto found = entries_.find(incarnation);
  const auto known = found != entries_.end();
  const auto before = known ? found->second.perSecond_ : std::nullopt;
  const auto changed = before != aUpdate.perSecond_;
  if (known) {
    const auto newerBy = aUpdate.statedAt_ - found->second.statedAt_;
    if (newerBy <= (changed ? Duration{} : options_.refreshAfter_)) {
      return MergeResult::Ignored;
    }
  } else {
    Evict();
    found = entries_.try_emplace(incarnation).first;
  }
  found->second.perSecond_ = aUpdate.perSecond_;
  found->second.statedAt_ = aUpdate.statedAt_;
  if (!changed) {
    return known ? MergeResult::Confirmed : MergeResult::Ignored;
  }
  found->second.sends_ = 0;
  return MergeResult::Changed;
}

auto LimitTable::Evict() -> void
{
  if (entries_.size() < options_.capacity_) {
    return;
  }
  entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                  [](const auto& aLeft, const auto& aRight) {
                                    return aLeft.second.statedAt_ <
                                           aRight.second.statedAt_;
                                  }));
}

auto LimitTable::Find(const EngineIncarnation& aIncarnation) const
  -> std::optional<EngineLimit>
{
  const auto found = entries_.find(aIncarnation);
  return found == entries_.end() ? std::nullopt
                                 : std::optional(ToLimit(*found));
}

auto LimitTable::TakeUpdates(std::size_t aMax) -> std::vector<EngineLimit>
{
  if (entries_.empty()) {
    return {};
  }
  ++round_;
  std::vector<Item*> items;
  items.reserve(entries_.size());
  for (auto& item : entries_) {
    items.push_back(&item);
  }
  const auto end =
    items.begin() + static_cast<std::ptrdiff_t>(std::min(aMax, items.size()));
  const auto priority = [](const Item* aItem) {
    return std::tuple(std::min(aItem->second.sends_, kNewUpdateSends),
                      aItem->second.lastSentRound_);
  };
  std::partial_sort(items.begin(), end, items.end(),
                    [&](const Item* aLeft, const Item* aRight) {
                      return priority(aLeft) < priority(aRight);
                    });
  std::vector<EngineLimit> updates;
  std::transform(items.begin(), end, std::back_inserter(updates),
                 [&](Item* aItem) {
                   ++aItem->second.sends_;
                   aItem->second.lastSentRound_ = round_;
                   return ToLimit(*aItem);
                 });
  return updates;
}

auto LimitTable::InForce(std::size_t aMax) const -> std::vector<EngineLimit>
{
  std::vector<EngineLimit> limits;
  for (const auto& item : entries_) {
    if (item.second.perSecond_ && limits.size() < aMax) {
      limits.push_back(ToLimit(item));
    }
  }
  return limits;
}

auto LimitTable::Expire(TimePoint aNow) -> void
{
  std::erase_if(entries_, [&](const auto& aItem) {
    const auto& entry = aItem.second;
    return aNow - entry.statedAt_ >=
           (entry.perSecond_ ? options_.keepLimits_ : options_.keepLifted_);
  });
}

} // namespace goldcrestcroft

#include "LimitBoard.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** An update that was sent fewer times than this counts as new. With hosts
 * that each send to three others, updates reach 640 hosts in fewer rounds. */
constexpr std::uint32_t kNewTells = 8;

} // namespace

auto LimitBoard::ToLimit(const Item& aItem) -> EngineLimit
{
  const auto& [incarnation, entry] = aItem;
  return { .engine_ = incarnation.first,
           .startedAt_ = incarnation.second,
           .perSecond_ = entry.perSecond_,
           .statedAt_ = entry.statedAt_ };
}

auto LimitBoard::Merge(EngineLimit aUpdate, TimePoint aNow) -> Merged
{
  aUpdate.statedAt_ = std::min(aUpdate.statedAt_, aNow);
  const EngineStart incarnation(aUpdate.engine_, aUpdate.startedAt_);
  auto found = entries_.find(incarnation);
  const auto known = found != entries_.end();
  const auto before = known ? found->second.perSecond_ : std::nullopt;
  const auto changed = before != aUpdate.perSecond_;
  if (known) {
    const auto newerBy = aUpdate.statedAt_ - found->second.statedAt_;
    if (newerBy <= (changed ? Duration{} : options_.refreshAfter_)) {
      return Merged::Ignored;
    }
  } else {
    MakeRoom();
    found = entries_.try_emplace(incarnation).first;
  }
  found->second.perSecond_ = aUpdate.perSecond_;
  found->second.statedAt_ = aUpdate.statedAt_;
  if (!changed) {
    return known ? Merged::Confirmed : Merged::Ignored;
  }
  found->second.sends_ = 0;
  return Merged::Changed;
}

auto LimitBoard::MakeRoom() -> void
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

auto LimitBoard::Find(const EngineStart& aIncarnation) const
  -> std::optional<EngineLimit>
{
  const auto found = entries_.find(aIncarnation);
  return found == entries_.end() ? std::nullopt
                                 : std::optional(ToLimit(*found));
}

auto LimitBoard::Tell(std::size_t aMax) -> std::vector<EngineLimit>
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
    return std::tuple(std::min(aItem->second.sends_, kNewTells),
                      aItem->second.lastTold_);
  };
  std::partial_sort(items.begin(), end, items.end(),
                    [&](const Item* aLeft, const Item* aRight) {
                      return priority(aLeft) < priority(aRight);
                    });
  std::vector<EngineLimit> updates;
  std::transform(items.begin(), end, std::back_inserter(updates),
                 [&](Item* aItem) {
                   ++aItem->second.sends_;
                   aItem->second.lastTold_ = round_;
                   return ToLimit(*aItem);
                 });
  return updates;
}

auto LimitBoard::InForce(std::size_t aMax) const -> std::vector<EngineLimit>
{
  std::vector<EngineLimit> limits;
  for (const auto& item : entries_) {
    if (item.second.perSecond_ && limits.size() < aMax) {
      limits.push_back(ToLimit(item));
    }
  }
  return limits;
}

auto LimitBoard::Expire(TimePoint aNow) -> void
{
  std::erase_if(entries_, [&](const auto& aItem) {
    const auto& entry = aItem.second;
    return aNow - entry.statedAt_ >=
           (entry.perSecond_ ? options_.keepLimits_ : options_.keepLifted_);
  });
}

} // namespace goldcrestcroft

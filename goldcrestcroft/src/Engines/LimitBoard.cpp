#include "LimitBoard.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** A word told less often is new; hosts that each tell three others pass news
 * on to 640 in fewer rounds. */
constexpr std::uint32_t kNewTells = 8;

} // namespace

auto LimitBoard::ToWord(const Item& aItem) -> EngineLimit
{
  const auto& [start, entry] = aItem;
  return { .engine_ = start.first,
           .startedAt_ = start.second,
           .perSecond_ = entry.perSecond_,
           .statedAt_ = entry.statedAt_ };
}

auto LimitBoard::Merge(EngineLimit aWord, TimePoint aNow) -> Merged
{
  aWord.statedAt_ = std::min(aWord.statedAt_, aNow);
  const EngineStart start(aWord.engine_, aWord.startedAt_);
  auto found = entries_.find(start);
  const auto known = found != entries_.end();
  const auto before = known ? found->second.perSecond_ : std::nullopt;
  const auto changes = before != aWord.perSecond_;
  if (known) {
    const auto later = aWord.statedAt_ - found->second.statedAt_;
    if (later <= (changes ? Duration{} : options_.refreshAfter_)) {
      return Merged::Ignored;
    }
  } else {
    MakeRoom();
    found = entries_.try_emplace(start).first;
  }
  found->second.perSecond_ = aWord.perSecond_;
  found->second.statedAt_ = aWord.statedAt_;
  if (!changes) {
    return known ? Merged::Confirmed : Merged::Ignored;
  }
  found->second.told_ = 0;
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

auto LimitBoard::Find(const EngineStart& aStart) const
  -> std::optional<EngineLimit>
{
  const auto found = entries_.find(aStart);
  return found == entries_.end() ? std::nullopt : std::optional(ToWord(*found));
}

auto LimitBoard::Tell(std::size_t aMost) -> std::vector<EngineLimit>
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
    items.begin() + static_cast<std::ptrdiff_t>(std::min(aMost, items.size()));
  const auto turn = [](const Item* aItem) {
    return std::tuple(std::min(aItem->second.told_, kNewTells),
                      aItem->second.lastTold_);
  };
  std::partial_sort(items.begin(), end, items.end(),
                    [&](const Item* aLeft, const Item* aRight) {
                      return turn(aLeft) < turn(aRight);
                    });
  std::vector<EngineLimit> told;
  std::transform(items.begin(), end, std::back_inserter(told),
                 [&](Item* aItem) {
                   ++aItem->second.told_;
                   aItem->second.lastTold_ = round_;
                   return ToWord(*aItem);
                 });
  return told;
}

auto LimitBoard::InForce(std::size_t aMost) const -> std::vector<EngineLimit>
{
  std::vector<EngineLimit> words;
  for (const auto& item : entries_) {
    if (item.second.perSecond_ && words.size() < aMost) {
      words.push_back(ToWord(item));
    }
  }
  return words;
}

auto LimitBoard::Expire(TimePoint aNow) -> void
{
  std::erase_if(entries_, [&](const auto& aItem) {
    const auto& entry = aItem.second;
    return aNow - entry.statedAt_ >=
           (entry.perSecond_ ? options_.keepLimits_ : options_.keepEnds_);
  });
}

} // namespace goldcrestcroft

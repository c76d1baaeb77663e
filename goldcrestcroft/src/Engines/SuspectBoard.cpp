#include "SuspectBoard.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** How much longer a clearing is known than the verdict that it clears, which
 * may still be on its way and would hold again: several times the seconds that
 * a notice takes to all hosts. */
constexpr Duration kClearingOutlives = std::chrono::minutes{ 1 };
/** A notice told less often is new; hosts that each tell three others pass
 * news on to 640 in fewer rounds. */
constexpr std::uint32_t kNewTells = 8;
/** One part in so many of each message is kept for requests held back, in turn,
 * so that a wave of new notices does not keep newcomers from learning them. */
constexpr std::size_t kHeldPart = 4;

} // namespace

auto SuspectBoard::Merge(const SuspectNotice& aNotice, TimePoint aNow) -> bool
{
  if (aNotice.left_ <= Duration::zero() ||
      aNotice.generation_ > kMostGenerations) {
    return false;
  }
  const auto found = entries_.find(aNotice.request_);
  // The first generation has no clearing, so that all completions count.
  auto since = aNotice.generation_ == 0 ? TimePoint{} : aNow;
  if (found != entries_.end() && aNow < found->second.until_) {
    const auto& known = found->second;
    // The same again does not last longer: each host would renew the others'.
    if (std::tie(aNotice.generation_, aNotice.level_, aNotice.count_) <=
        std::tie(known.generation_, known.level_, known.count_)) {
      return false;
    }
    if (aNotice.generation_ == known.generation_) {
      since = known.since_;
    }
  }
  if (found == entries_.end() && entries_.size() >= options_.capacity_) {
    Expire(aNow);
    MakeRoom();
  }
  const auto left = std::min(aNotice.left_, options_.longestLeft_);
  entries_[aNotice.request_] = { .generation_ = aNotice.generation_,
                                 .level_ = aNotice.level_,
                                 .count_ = aNotice.count_,
                                 .until_ = aNow + left,
                                 .since_ = since };
  return true;
}

auto SuspectBoard::MakeRoom() -> void
{
  while (!entries_.empty() && entries_.size() >= options_.capacity_) {
    entries_.erase(std::min_element(
      entries_.begin(), entries_.end(),
      [](const auto& aLeft, const auto& aRight) {
        return std::pair(aLeft.second.level_, aLeft.second.until_) <
               std::pair(aRight.second.level_, aRight.second.until_);
      }));
  }
}

auto SuspectBoard::LevelOf(std::uint64_t aRequest, TimePoint aNow) const
  -> SuspectLevel
{
  const auto found = entries_.find(aRequest);
  return found == entries_.end() || found->second.until_ <= aNow
           ? SuspectLevel::Cleared
           : found->second.level_;
}

auto SuspectBoard::Clearing(std::uint64_t aRequest, TimePoint aNow) const
  -> std::optional<SuspectNotice>
{
  if (LevelOf(aRequest, aNow) == SuspectLevel::Cleared) {
    return std::nullopt;
  }
  const auto& known = entries_.at(aRequest);
  return SuspectNotice{ .request_ = aRequest,
                        .generation_ =
                          std::min(known.generation_ + 1, kMostGenerations),
                        .level_ = SuspectLevel::Cleared,
                        .left_ = known.until_ - aNow + kClearingOutlives };
}

auto SuspectBoard::OnCompleted(std::uint64_t aRequest, TimePoint aNow)
  -> std::optional<SuspectNotice>
{
  completed_.Add(aRequest, aNow);
  return Clearing(aRequest, aNow);
}

auto SuspectBoard::Recall(std::uint64_t aRequest, TimePoint aNow) const
  -> std::optional<SuspectNotice>
{
  // Each completion clears once: a request that crashes engines only since it
  // ran to its end must not be cleared on and on.
  const auto found = entries_.find(aRequest);
  return found != entries_.end() &&
             completed_.IsKnownSince(aRequest, found->second.since_, aNow)
           ? Clearing(aRequest, aNow)
           : std::nullopt;
}

auto SuspectBoard::NoticeOf(const Item& aItem, TimePoint aNow) -> SuspectNotice
{
  const auto& [request, entry] = aItem;
  return { .request_ = request,
           .generation_ = entry.generation_,
           .level_ = entry.level_,
           .count_ = entry.count_,
           .left_ = entry.until_ - aNow };
}

auto SuspectBoard::Find(std::uint64_t aRequest, TimePoint aNow) const
  -> std::optional<SuspectNotice>
{
  if (LevelOf(aRequest, aNow) == SuspectLevel::Cleared) {
    return std::nullopt;
  }
  return NoticeOf(*entries_.find(aRequest), aNow);
}

auto SuspectBoard::AtLevel(SuspectLevel aLevel, std::size_t aMost,
                           TimePoint aNow) const -> std::vector<SuspectNotice>
{
  std::vector<SuspectNotice> notices;
  for (const auto& item : entries_) {
    if (item.second.level_ == aLevel && aNow < item.second.until_) {
      notices.push_back(NoticeOf(item, aNow));
    }
  }
  std::sort(notices.begin(), notices.end(),
            [](const SuspectNotice& aLeft, const SuspectNotice& aRight) {
              return aLeft.count_ > aRight.count_;
            });
  notices.resize(std::min(notices.size(), aMost));
  return notices;
}

auto SuspectBoard::Tell(std::size_t aMost, TimePoint aNow)
  -> std::vector<SuspectNotice>
{
  ++round_;
  std::vector<Item*> items;
  for (auto& item : entries_) {
    if (aNow < item.second.until_) {
      items.push_back(&item);
    }
  }
  auto next = items.begin();
  // Moves the first few by aBefore to the front of those that are left.
  const auto take = [&](std::size_t aCount, const auto& aBefore) {
    const auto left = static_cast<std::size_t>(items.end() - next);
    const auto end = next + static_cast<std::ptrdiff_t>(std::min(aCount, left));
    std::partial_sort(next, end, items.end(),
                      [&](const Item* aLeft, const Item* aRight) {
                        return aBefore(aLeft->second) < aBefore(aRight->second);
                      });
    next = end;
  };
  take((aMost + kHeldPart - 1) / kHeldPart, [](const Entry& aEntry) {
    return std::tuple(aEntry.level_ != SuspectLevel::HeldBack,
                      aEntry.lastTold_);
  });
  take(aMost - static_cast<std::size_t>(next - items.begin()),
       [](const Entry& aEntry) {
         return std::tuple(std::min(aEntry.told_, kNewTells), aEntry.lastTold_);
       });
  std::vector<SuspectNotice> told;
  std::transform(items.begin(), next, std::back_inserter(told),
                 [&](Item* aItem) {
                   ++aItem->second.told_;
                   aItem->second.lastTold_ = round_;
                   return NoticeOf(*aItem, aNow);
                 });
  return told;
}

auto SuspectBoard::Expire(TimePoint aNow) -> void
{
  std::erase_if(entries_,
                [&](const auto& aItem) { return aItem.second.until_ <= aNow; });
}

} // namespace goldcrestcroft

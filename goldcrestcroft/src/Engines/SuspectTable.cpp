#include "SuspectTable.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** How much longer a clearing is kept than the notice that it supersedes. That
 * notice may still be in transit and would otherwise take effect again. This is
 * several times the seconds that a notice takes to reach all hosts. */
constexpr Duration kClearingExtraLifetime = std::chrono::minutes{ 1 };
/** A notice that was sent less often counts as new. If each host sends to three
 * others, an update reaches 640 hosts in fewer rounds. */
constexpr std::uint32_t kNewSends = 8;
/** One part in this many of each message is reserved for quarantined requests,
 * in turn, so that a wave of new notices does not keep hosts that have just
 * started from learning of them. */
constexpr std::size_t kQuarantinedShare = 4;

} // namespace

auto SuspectTable::Merge(const SuspectNotice& aNotice, TimePoint aNow) -> bool
{
  if (aNotice.left_ <= Duration::zero() ||
      aNotice.generation_ > kMaxGenerations) {
    return false;
  }
  const auto found = entries_.find(aNotice.request_);
  // No clearing of a request precedes the first generation, so all completions
  // count.
  const auto isPart = KindOf(aNotice.request_) == SuspectKind::PromptPart;
  const auto age =
    std::clamp(aNotice.evidenceAge_, Duration{}, options_.proofRetention_);
  auto since = isPart                     ? aNow - age
               : aNotice.generation_ == 0 ? TimePoint{}
                                          : aNow;
  if (found != entries_.end() && aNow < found->second.until_) {
    const auto& known = found->second;
    // An equal notice does not extend the expiry; otherwise hosts would renew
    // each other's notices forever.
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
    Evict();
  }
  const auto left = std::min(aNotice.left_, options_.maxLeft_);
  entries_[aNotice.request_] = { .generation_ = aNotice.generation_,
                                 .level_ = aNotice.level_,
                                 .count_ = aNotice.count_,
                                 .until_ = aNow + left,
                                 .since_ = since };
  return true;
}

auto SuspectTable::Evict() -> void
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

auto SuspectTable::LevelOf(std::uint64_t aRequest, TimePoint aNow) const
  -> SuspectLevel
{
  const auto found = entries_.find(aRequest);
  return found == entries_.end() || found->second.until_ <= aNow
           ? SuspectLevel::Cleared
           : found->second.level_;
}

auto SuspectTable::ClearingNotice(std::uint64_t aRequest, TimePoint aNow) const
  -> std::optional<SuspectNotice>
{
  if (LevelOf(aRequest, aNow) == SuspectLevel::Cleared) {
    return std::nullopt;
  }
  const auto& known = entries_.at(aRequest);
  return SuspectNotice{ .request_ = aRequest,
                        .generation_ =
                          std::min(known.generation_ + 1, kMaxGenerations),
                        .level_ = SuspectLevel::Cleared,
                        .left_ = known.until_ - aNow + kClearingExtraLifetime };
}

auto SuspectTable::OnCompleted(std::uint64_t aRequest, TimePoint aNow)
  -> std::optional<SuspectNotice>
{
  auto& completed =
    KindOf(aRequest) == SuspectKind::PromptPart ? proven_ : completed_;
  completed.Add(aRequest, aNow);
  return ClearingNotice(aRequest, aNow);
}

auto SuspectTable::ClearingIfCompleted(std::uint64_t aRequest,
                                       TimePoint aNow) const
  -> std::optional<SuspectNotice>
{
  // Each completion clears only once. Otherwise a request that began to crash
  // engines after a completion would be cleared again and again.
  const auto found = entries_.find(aRequest);
  return found != entries_.end() && CompletedOf(aRequest).HasCompletedSince(
                                      aRequest, found->second.since_, aNow)
           ? ClearingNotice(aRequest, aNow)
           : std::nullopt;
}

auto SuspectTable::NoticeOf(const Item& aItem, TimePoint aNow) -> SuspectNotice
{
  const auto& [request, entry] = aItem;
  return { .request_ = request,
           .generation_ = entry.generation_,
           .level_ = entry.level_,
           .count_ = entry.count_,
           .left_ = entry.until_ - aNow,
           .evidenceAge_ = KindOf(request) == SuspectKind::PromptPart
                             ? aNow - entry.since_
                             : Duration{} };
}

auto SuspectTable::Find(std::uint64_t aRequest, TimePoint aNow) const
  -> std::optional<SuspectNotice>
{
  if (LevelOf(aRequest, aNow) == SuspectLevel::Cleared) {
    return std::nullopt;
  }
  return NoticeOf(*entries_.find(aRequest), aNow);
}

auto SuspectTable::AtLevel(SuspectLevel aLevel, std::size_t aMax,
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
  notices.resize(std::min(notices.size(), aMax));
  return notices;
}

auto SuspectTable::TakeNotices(std::size_t aMax, TimePoint aNow)
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
  // Moves the aCount smallest by aKey to the front of the remaining items.
  const auto selectFirst = [&](std::size_t aCount, const auto& aKey) {
    const auto left = static_cast<std::size_t>(items.end() - next);
    const auto end = next + static_cast<std::ptrdiff_t>(std::min(aCount, left));
    std::partial_sort(next, end, items.end(),
                      [&](const Item* aLeft, const Item* aRight) {
                        return aKey(aLeft->second) < aKey(aRight->second);
                      });
    next = end;
  };
  selectFirst((aMax + kQuarantinedShare - 1) / kQuarantinedShare,
              [](const Entry& aEntry) {
                return std::tuple(aEntry.level_ != SuspectLevel::Quarantined,
                                  aEntry.lastSentRound_);
              });
  selectFirst(aMax - static_cast<std::size_t>(next - items.begin()),
              [](const Entry& aEntry) {
                return std::tuple(std::min(aEntry.sendCount_, kNewSends),
                                  aEntry.lastSentRound_);
              });
  std::vector<SuspectNotice> notices;
  std::transform(items.begin(), next, std::back_inserter(notices),
                 [&](Item* aItem) {
                   ++aItem->second.sendCount_;
                   aItem->second.lastSentRound_ = round_;
                   return NoticeOf(*aItem, aNow);
                 });
  return notices;
}

auto SuspectTable::Expire(TimePoint aNow) -> void
{
  std::erase_if(entries_,
                [&](const auto& aItem) { return aItem.second.until_ <= aNow; });
}

} // namespace goldcrestcroft

#include "SuspectCounter.h"

#include <algorithm>

namespace goldcrestcroft {

auto SuspectCounter::OnLost(const LostRun& aRun, TimePoint aNow)
  -> std::optional<SuspectNotice>
{
  auto& entry = FindOrAddEntry(aRun.request_, aNow);
  const auto isExpired = [&](const LostRun& aOther) {
    return aOther.ended_ + options_.retention_ <= aNow;
  };
  const auto isKnown = [&](const LostRun& aOther) {
    return aOther.run_ == aRun.run_;
  };
  // Runs that began before the clearing may have been lost in the same wave of
  // engine crashes as the runs that were cleared.
  if (aRun.began_ < entry.clearedAt_ || isExpired(aRun) ||
      std::any_of(entry.runs_.begin(), entry.runs_.end(), isKnown)) {
    return std::nullopt;
  }
  std::erase_if(entry.runs_, isExpired);
  entry.runs_.push_back(aRun);
  const auto counted = CountedRuns(aRun.request_, entry.runs_);
  entry.count_ = counted.size();
  if (entry.runs_.size() > options_.runsPerRequest_) {
    // Runs that do not count as a crash of their own are the weakest evidence.
    const auto uncounted = std::find_if(
      entry.runs_.begin(), entry.runs_.end(), [&](const auto& aOf) {
        return std::find(counted.begin(), counted.end(), aOf) == counted.end();
      });
    entry.runs_.erase(uncounted == entry.runs_.end() ? entry.runs_.begin()
                                                     : uncounted);
  }
  if (aNow >= entry.until_) {
    // A quarantine that has expired takes effect again at once.
    if (entry.level_ == SuspectLevel::Quarantined) {
      return Raise(aRun.request_, entry, SuspectLevel::Quarantined, aNow);
    }
    entry.level_ = SuspectLevel::Cleared;
  }
  if (entry.level_ == SuspectLevel::Quarantined ||
      Count(aRun.request_, entry) <
        std::min(options_.suspectThreshold_, options_.quarantineThreshold_)) {
    return std::nullopt;
  }
  const auto isSuspected = entry.level_ == SuspectLevel::Suspected;
  if (isSuspected && Count(aRun.request_, entry) > entry.announcedCount_) {
    increasedCounts_.insert(aRun.request_);
  }
  if (HasEnoughEvidence(aRun.request_, entry, aNow)) {
    entry.sufficientAt_ = entry.sufficientAt_.value_or(aNow);
    if (isSuspected && QuarantineTime(entry) <= aNow) {
      return Raise(aRun.request_, entry, SuspectLevel::Quarantined, aNow);
    }
    awaitingClearing_.push_back(aRun.request_);
  }
  return isSuspected ? std::nullopt
                     : std::optional(Raise(aRun.request_, entry,
                                           SuspectLevel::Suspected, aNow));
}

auto SuspectCounter::Raise(std::uint64_t aRequest, Entry& aEntry,
                           SuspectLevel aLevel, TimePoint aNow) const
  -> SuspectNotice
{
  aEntry.level_ = aLevel;
  aEntry.until_ = aNow + options_.levelLifetime_;
  if (aLevel == SuspectLevel::Suspected) {
    aEntry.suspectedAt_ = aNow;
  }
  return Announce(aRequest, aEntry, aNow);
}

auto SuspectCounter::Announce(std::uint64_t aRequest, Entry& aEntry,
                              TimePoint aNow) const -> SuspectNotice
{
  const auto suspected = aEntry.level_ == SuspectLevel::Suspected;
  const auto first =
    std::min_element(aEntry.runs_.begin(), aEntry.runs_.end(),
                     [](const LostRun& aLeft, const LostRun& aRight) {
                       return aLeft.ended_ < aRight.ended_;
                     });
  const auto hasAge =
    KindOf(aRequest) == SuspectKind::PromptPart && first != aEntry.runs_.end();
  aEntry.announcedCount_ = Count(aRequest, aEntry);
  return { .request_ = aRequest,
           .generation_ = aEntry.generation_,
           .level_ = aEntry.level_,
           .count_ =
             suspected ? static_cast<std::uint32_t>(aEntry.announcedCount_) : 0,
           .left_ = aEntry.until_ - aNow,
           .evidenceAge_ = hasAge ? aNow - first->ended_ : Duration{} };
}

auto SuspectCounter::Due(TimePoint aNow) -> std::vector<SuspectNotice>
{
  std::vector<SuspectNotice> due;
  std::erase_if(awaitingClearing_, [&](std::uint64_t aRequest) {
    const auto found = entries_.find(aRequest);
    // Cleared, evicted or quarantined in the meantime.
    if (found == entries_.end() ||
        found->second.level_ != SuspectLevel::Suspected) {
      return true;
    }
    if (!HasEnoughEvidence(aRequest, found->second, aNow)) {
      if (const auto clearing = ClearExplained(aRequest, found->second, aNow)) {
        due.push_back(*clearing);
      }
      return true;
    }
    if (aNow < QuarantineTime(found->second)) {
      return false;
    }
    due.push_back(
      Raise(aRequest, found->second, SuspectLevel::Quarantined, aNow));
    return true;
  });
  return due;
}

auto SuspectCounter::TakeIncreasedCounts(TimePoint aNow)
  -> std::vector<SuspectNotice>
{
  std::vector<SuspectNotice> notices;
  for (const auto request : std::exchange(increasedCounts_, {})) {
    const auto found = entries_.find(request);
    if (found != entries_.end() && aNow < found->second.until_ &&
        found->second.level_ == SuspectLevel::Suspected) {
      notices.push_back(Announce(request, found->second, aNow));
    }
  }
  return notices;
}

auto SuspectCounter::OnNotice(const SuspectNotice& aNotice, TimePoint aNow)
  -> void
{
  if (aNotice.left_ <= Duration::zero() ||
      aNotice.generation_ > kMaxGenerations) {
    return;
  }
  auto& entry = FindOrAddEntry(aNotice.request_, aNow);
  const auto isNewer = aNotice.generation_ > entry.generation_;
  if (isNewer) {
    entry.generation_ = aNotice.generation_;
    entry.clearedAt_ = aNow;
    entry.runs_.clear();
    entry.count_ = 0;
    entry.reportedCount_ = 0;
    entry.announcedCount_ = 0;
    entry.sufficientAt_.reset();
  }
  const auto reported = std::clamp<std::size_t>(
    aNotice.count_, options_.suspectThreshold_, options_.quarantineThreshold_);
  if (!isNewer && aNotice.level_ == SuspectLevel::Suspected &&
      entry.level_ == SuspectLevel::Suspected &&
      aNotice.generation_ == entry.generation_ &&
      reported > Count(aNotice.request_, entry)) {
    entry.reportedCount_ = reported;
    entry.reportedAt_ = aNow;
    entry.announcedCount_ = reported;
  }
  if (isNewer || (aNotice.generation_ == entry.generation_ &&
                  aNotice.level_ > entry.level_)) {
    entry.level_ = aNotice.level_;
    if (aNotice.level_ == SuspectLevel::Suspected) {
      // The hosts that counted may be gone before the next loss.
      entry.reportedCount_ = reported;
      entry.reportedAt_ = aNow;
      entry.announcedCount_ = reported;
    }
    entry.suspectedAt_ = aNow;
    entry.until_ = aNow + std::min(aNotice.left_, options_.levelLifetime_);
  }
}

auto SuspectCounter::FindOrAddEntry(std::uint64_t aRequest, TimePoint aNow)
  -> Entry&
{
  if (!entries_.contains(aRequest) && entries_.size() >= options_.capacity_) {
    Expire(aNow);
    Evict();
  }
  auto& entry = entries_[aRequest];
  entry.lastUpdateAt_ = aNow;
  return entry;
}

auto SuspectCounter::Evict() -> void
{
  while (!entries_.empty() && entries_.size() >= options_.capacity_) {
    const auto strength = [](const Entry& aEntry) {
      return std::tie(aEntry.level_, aEntry.count_, aEntry.lastUpdateAt_);
    };
    entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                    [&](const auto& aLeft, const auto& aRight) {
                                      return strength(aLeft.second) <
                                             strength(aRight.second);
                                    }));
  }
}

auto SuspectCounter::IsNeeded(const Entry& aEntry, TimePoint aNow) const -> bool
{
  // For a while after a quarantine expired, the next loss renews it. The
  // generation is needed as long as notices of the previous one circulate.
  return aNow < aEntry.until_ + options_.levelLifetime_ ||
         aNow < aEntry.lastUpdateAt_ + options_.retention_;
}

auto SuspectCounter::Expire(TimePoint aNow) -> void
{
  std::erase_if(
    entries_, [&](const auto& aItem) { return !IsNeeded(aItem.second, aNow); });
}

auto SuspectCounter::CountOf(std::uint64_t aRequest) const -> std::size_t
{
  const auto found = entries_.find(aRequest);
  return found == entries_.end() ? 0 : found->second.count_;
}

} // namespace goldcrestcroft

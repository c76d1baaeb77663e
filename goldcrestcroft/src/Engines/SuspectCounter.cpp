#include "SuspectCounter.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** Of the runs that do not overlap the one before, the one that ends first
 * leaves most room for more. */
auto Chain(std::vector<LostRun>& aRuns) -> std::vector<LostRun>
{
  std::sort(aRuns.begin(), aRuns.end(),
            [](const LostRun& aLeft, const LostRun& aRight) {
              return std::tie(aLeft.ended_, aLeft.began_) <
                     std::tie(aRight.ended_, aRight.began_);
            });
  std::vector<LostRun> chain;
  for (const auto& run : aRuns) {
    if (chain.empty() || run.began_ > chain.back().ended_) {
      chain.push_back(run);
    }
  }
  return chain;
}

} // namespace

auto CountCoincidences(std::vector<LostRun> aRuns) -> std::size_t
{
  return Chain(aRuns).size();
}

auto SuspectCounter::OnLost(const LostRun& aRun, TimePoint aNow)
  -> std::optional<SuspectNotice>
{
  auto& entry = EntryOf(aRun.request_, aNow);
  const auto isForgotten = [&](const LostRun& aOther) {
    return aOther.ended_ + options_.rememberFor_ <= aNow;
  };
  const auto isKnown = [&](const LostRun& aOther) {
    return aOther.run_ == aRun.run_;
  };
  // Those that began before the clearing may have ended with engines that a
  // wave took, as the runs did that were cleared.
  if (aRun.began_ < entry.clearedAt_ || isForgotten(aRun) ||
      std::any_of(entry.runs_.begin(), entry.runs_.end(), isKnown)) {
    return std::nullopt;
  }
  std::erase_if(entry.runs_, isForgotten);
  entry.runs_.push_back(aRun);
  const auto chain = Chain(entry.runs_);
  entry.count_ = chain.size();
  if (entry.runs_.size() > options_.runsEach_) {
    // Runs that overlap others say least.
    const auto spare = std::find_if(
      entry.runs_.begin(), entry.runs_.end(), [&](const auto& aOf) {
        return std::find(chain.begin(), chain.end(), aOf) == chain.end();
      });
    entry.runs_.erase(spare == entry.runs_.end() ? entry.runs_.begin() : spare);
  }
  if (aNow >= entry.until_) {
    // A verdict that has expired holds again at once.
    if (entry.level_ == SuspectLevel::HeldBack) {
      return Raise(aRun.request_, entry, SuspectLevel::HeldBack, aNow);
    }
    entry.level_ = SuspectLevel::Cleared;
  }
  if (entry.level_ == SuspectLevel::HeldBack ||
      Count(entry) < std::min(options_.suspectAt_, options_.holdAt_)) {
    return std::nullopt;
  }
  const auto isSuspected = entry.level_ == SuspectLevel::Suspected;
  if (isSuspected && Count(entry) > entry.announced_) {
    recounted_.insert(aRun.request_);
  }
  if (IsEnough(entry)) {
    if (isSuspected && entry.suspectedAt_ + options_.hearFor_ <= aNow) {
      return Raise(aRun.request_, entry, SuspectLevel::HeldBack, aNow);
    }
    heard_.push_back(aRun.request_);
  }
  return isSuspected ? std::nullopt
                     : std::optional(Raise(aRun.request_, entry,
                                           SuspectLevel::Suspected, aNow));
}

auto SuspectCounter::Count(const Entry& aEntry) -> std::size_t
{
  if (aEntry.told_ == 0) {
    return aEntry.count_;
  }
  auto since = aEntry.runs_;
  std::erase_if(
    since, [&](const LostRun& aRun) { return aRun.began_ < aEntry.toldAt_; });
  return std::max(aEntry.count_, aEntry.told_ + Chain(since).size());
}

auto SuspectCounter::IsEnough(const Entry& aEntry) const -> bool
{
  const auto count = Count(aEntry);
  // Three runs lost in a row happen to some innocent request of a day on which
  // every tenth run is lost; no history tells it from a guilty one.
  return count > options_.holdAt_ ||
         (count == options_.holdAt_ &&
          aEntry.runs_.size() >= options_.holdRuns_);
}

auto SuspectCounter::Raise(std::uint64_t aRequest, Entry& aEntry,
                           SuspectLevel aLevel, TimePoint aNow) const
  -> SuspectNotice
{
  aEntry.level_ = aLevel;
  aEntry.until_ = aNow + options_.holdFor_;
  if (aLevel == SuspectLevel::Suspected) {
    aEntry.suspectedAt_ = aNow;
  }
  return Announce(aRequest, aEntry, aNow);
}

auto SuspectCounter::Announce(std::uint64_t aRequest, Entry& aEntry,
                              TimePoint aNow) -> SuspectNotice
{
  const auto suspected = aEntry.level_ == SuspectLevel::Suspected;
  aEntry.announced_ = Count(aEntry);
  return { .request_ = aRequest,
           .generation_ = aEntry.generation_,
           .level_ = aEntry.level_,
           .count_ =
             suspected ? static_cast<std::uint32_t>(aEntry.announced_) : 0,
           .left_ = aEntry.until_ - aNow };
}

auto SuspectCounter::Due(TimePoint aNow) -> std::vector<SuspectNotice>
{
  std::vector<SuspectNotice> due;
  std::erase_if(heard_, [&](std::uint64_t aRequest) {
    const auto found = entries_.find(aRequest);
    // Cleared, forgotten or held back meanwhile.
    if (found == entries_.end() ||
        found->second.level_ != SuspectLevel::Suspected ||
        !IsEnough(found->second)) {
      return true;
    }
    if (aNow < found->second.suspectedAt_ + options_.hearFor_) {
      return false;
    }
    due.push_back(Raise(aRequest, found->second, SuspectLevel::HeldBack, aNow));
    return true;
  });
  return due;
}

auto SuspectCounter::Recounted(TimePoint aNow) -> std::vector<SuspectNotice>
{
  std::vector<SuspectNotice> notices;
  for (const auto request : std::exchange(recounted_, {})) {
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
      aNotice.generation_ > kMostGenerations) {
    return;
  }
  auto& entry = EntryOf(aNotice.request_, aNow);
  const auto isNewer = aNotice.generation_ > entry.generation_;
  if (isNewer) {
    entry.generation_ = aNotice.generation_;
    entry.clearedAt_ = aNow;
    entry.runs_.clear();
    entry.count_ = 0;
    entry.told_ = 0;
    entry.announced_ = 0;
  }
  const auto told = std::clamp<std::size_t>(aNotice.count_, options_.suspectAt_,
                                            options_.holdAt_);
  if (!isNewer && aNotice.level_ == SuspectLevel::Suspected &&
      entry.level_ == SuspectLevel::Suspected &&
      aNotice.generation_ == entry.generation_ && told > Count(entry)) {
    entry.told_ = told;
    entry.toldAt_ = aNow;
    entry.announced_ = told;
  }
  if (isNewer || (aNotice.generation_ == entry.generation_ &&
                  aNotice.level_ > entry.level_)) {
    entry.level_ = aNotice.level_;
    if (aNotice.level_ == SuspectLevel::Suspected) {
      // Those who counted may be gone before the next loss.
      entry.told_ = told;
      entry.toldAt_ = aNow;
      entry.announced_ = told;
    }
    entry.suspectedAt_ = aNow;
    entry.until_ = aNow + std::min(aNotice.left_, options_.holdFor_);
  }
}

auto SuspectCounter::EntryOf(std::uint64_t aRequest, TimePoint aNow) -> Entry&
{
  if (!entries_.contains(aRequest) && entries_.size() >= options_.capacity_) {
    Expire(aNow);
    MakeRoom();
  }
  auto& entry = entries_[aRequest];
  entry.heardAt_ = aNow;
  return entry;
}

auto SuspectCounter::MakeRoom() -> void
{
  while (!entries_.empty() && entries_.size() >= options_.capacity_) {
    const auto strength = [](const Entry& aEntry) {
      return std::tie(aEntry.level_, aEntry.count_, aEntry.heardAt_);
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
  // A request that was held back is held again at its next loss for a while,
  // and a generation is needed as long as notices of the one before are told.
  return aNow < aEntry.until_ + options_.holdFor_ ||
         aNow < aEntry.heardAt_ + options_.rememberFor_;
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

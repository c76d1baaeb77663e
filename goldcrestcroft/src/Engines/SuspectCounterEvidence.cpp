#include "SuspectCounter.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** Returns a largest set of runs that do not overlap in time. Among the runs
 * that do not overlap the previous one, the greedy choice is the one that ends
 * first, since it leaves the most time for further runs. */
auto LargestDisjointSet(std::vector<LostRun>& aRuns) -> std::vector<LostRun>
{
  std::sort(aRuns.begin(), aRuns.end(),
            [](const LostRun& aLeft, const LostRun& aRight) {
              return std::tie(aLeft.ended_, aLeft.began_) <
                     std::tie(aRight.ended_, aRight.began_);
            });
  std::vector<LostRun> disjoint;
  for (const auto& run : aRuns) {
    if (disjoint.empty() || run.began_ > disjoint.back().ended_) {
      disjoint.push_back(run);
    }
  }
  return disjoint;
}

/** Returns the first run of each crash, where crashes closer than aSpacing are
 * one. */
auto SpacedCrashes(std::vector<LostRun>& aRuns, Duration aSpacing)
  -> std::vector<LostRun>
{
  std::sort(aRuns.begin(), aRuns.end(),
            [](const LostRun& aLeft, const LostRun& aRight) {
              return aLeft.ended_ < aRight.ended_;
            });
  std::vector<LostRun> crashes;
  for (const auto& run : aRuns) {
    if (crashes.empty() || run.ended_ >= crashes.back().ended_ + aSpacing) {
      crashes.push_back(run);
    }
  }
  return crashes;
}

} // namespace

auto CountSpacedCrashes(std::vector<LostRun> aRuns, Duration aSpacing)
  -> std::size_t
{
  return SpacedCrashes(aRuns, aSpacing).size();
}

auto SuspectCounter::CountedRuns(std::uint64_t aRequest,
                                 std::vector<LostRun>& aRuns) const
  -> std::vector<LostRun>
{
  return KindOf(aRequest) == SuspectKind::PromptPart
           ? SpacedCrashes(aRuns, options_.crashSpacing_)
           : LargestDisjointSet(aRuns);
}

auto CountIndependentCrashes(std::vector<LostRun> aRuns) -> std::size_t
{
  return LargestDisjointSet(aRuns).size();
}

auto SuspectCounter::Count(std::uint64_t aRequest, const Entry& aEntry) const
  -> std::size_t
{
  if (aEntry.reportedCount_ == 0) {
    return aEntry.count_;
  }
  auto since = aEntry.runs_;
  std::erase_if(since, [&](const LostRun& aRun) {
    return aRun.began_ < aEntry.reportedAt_;
  });
  return std::max(aEntry.count_,
                  aEntry.reportedCount_ + CountedRuns(aRequest, since).size());
}

auto SuspectCounter::IsSufficient(std::vector<LostRun> aRuns) const -> bool
{
  const auto crashes = CountSpacedCrashes(aRuns, options_.crashSpacing_);
  std::erase_if(aRuns, [](const LostRun& aRun) { return !aRun.responding_; });
  const auto responding = CountSpacedCrashes(aRuns, options_.crashSpacing_);
  return crashes >= options_.silentPartThreshold_ ||
         (crashes >= options_.partThreshold_ &&
          responding + 1 >= options_.partThreshold_);
}

auto SuspectCounter::UnexplainedRuns(const Entry& aEntry, TimePoint aNow) const
  -> std::vector<LostRun>
{
  auto others = aEntry.runs_;
  std::erase_if(others, [&](const LostRun& aRun) {
    const auto last = entries_.find(aRun.lastPart_);
    return last != entries_.end() &&
           last->second.level_ == SuspectLevel::Quarantined &&
           aNow < last->second.until_;
  });
  return others;
}

auto SuspectCounter::ClearExplained(std::uint64_t aRequest, const Entry& aEntry,
                                    TimePoint aNow) const
  -> std::optional<SuspectNotice>
{
  if (UnexplainedRuns(aEntry, aNow).size() == aEntry.runs_.size()) {
    return std::nullopt;
  }
  // Outlives the notices of the suspicion, which may still be in transit.
  return SuspectNotice{ .request_ = aRequest,
                        .generation_ =
                          std::min(aEntry.generation_ + 1, kMaxGenerations),
                        .level_ = SuspectLevel::Cleared,
                        .left_ = 2 * options_.levelLifetime_ };
}

auto SuspectCounter::MayBeExplained(const Entry& aEntry) const -> bool
{
  return std::any_of(
    aEntry.runs_.begin(), aEntry.runs_.end(), [&](const LostRun& aRun) {
      auto others = aEntry.runs_;
      const auto withIt = std::erase_if(others, [&](const LostRun& aOther) {
        return aOther.lastPart_ == aRun.lastPart_;
      });
      return aRun.lastPart_ != 0 && withIt > 1 &&
             !IsSufficient(std::move(others));
    });
}

auto SuspectCounter::QuarantineTime(const Entry& aEntry) const -> TimePoint
{
  const auto cleared = aEntry.suspectedAt_ + options_.clearingWindow_;
  return aEntry.sufficientAt_ && MayBeExplained(aEntry)
           ? std::max(cleared,
                      *aEntry.sufficientAt_ + options_.explanationWindow_)
           : cleared;
}

auto SuspectCounter::HasEnoughEvidence(std::uint64_t aRequest,
                                       const Entry& aEntry,
                                       TimePoint aNow) const -> bool
{
  const auto count = Count(aRequest, aEntry);
  if (KindOf(aRequest) == SuspectKind::PromptPart) {
    auto unexplained = UnexplainedRuns(aEntry, aNow);
    // The count includes crashes that only other hosts know.
    const auto isAll = unexplained.size() == aEntry.runs_.size();
    return (isAll && count >= options_.silentPartThreshold_) ||
           IsSufficient(std::move(unexplained));
  }
  // On a day on which every tenth run is lost, some harmless request loses
  // three runs in a row, and its history does not differ from that of a poison
  // request.
  return count > options_.quarantineThreshold_ ||
         (count == options_.quarantineThreshold_ &&
          aEntry.runs_.size() >= options_.quarantineRuns_);
}

} // namespace goldcrestcroft

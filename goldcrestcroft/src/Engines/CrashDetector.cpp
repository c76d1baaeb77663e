#include "CrashDetector.h"

namespace goldcrestcroft {

namespace {

auto RanOn(const UnansweredRun& aRun, const EngineEntry& aEngine) -> bool
{
  return aRun.engine_ == aEngine.id_ && aRun.startedAt_ == aEngine.startedAt_;
}

/** Removes the runs that match the predicate and returns them. */
template<typename Predicate>
auto Extract(std::vector<UnansweredRun>& aRuns, Predicate aPredicate)
  -> std::vector<LostRun>
{
  std::vector<LostRun> extracted;
  std::erase_if(aRuns, [&](const auto& aRun) {
    const auto matches = aPredicate(aRun);
    if (matches) {
      extracted.push_back(aRun.run_);
    }
    return matches;
  });
  return extracted;
}

} // namespace

auto CrashDetector::Add(const UnansweredRun& aRun, TimePoint aNow) -> void
{
  std::erase_if(runs_, [&](const auto& aItem) {
    return aNow - aItem.run_.ended_ >= options_.watchPeriod_;
  });
  if (runs_.size() >= options_.capacity_) {
    runs_.erase(runs_.begin());
  }
  runs_.push_back(aRun);
}

auto CrashDetector::OnEngineResponse(const EngineEntry& aEngine,
                                     TimePoint aOpenedAt, TimePoint aNow)
  -> void
{
  std::erase_if(runs_, [&](const auto& aItem) {
    const auto lostAt = aItem.run_.ended_;
    return RanOn(aItem, aEngine) && lostAt >= aOpenedAt &&
           aNow - lostAt > options_.inFlightTolerance_;
  });
}

auto CrashDetector::OnUnreachable(const EngineEntry& aEngine)
  -> std::vector<LostRun>
{
  return Extract(runs_, [&](const auto& aItem) {
    return aItem.connectionBroke_ && RanOn(aItem, aEngine);
  });
}

auto CrashDetector::OnEngines(const EngineList& aEngines, TimePoint aNow)
  -> std::vector<LostRun>
{
  std::erase_if(runs_, [&](const auto& aItem) {
    return aEngines.IsDraining(aItem.engine_, aItem.startedAt_) ||
           aNow - aItem.run_.ended_ >= options_.watchPeriod_;
  });
  return Extract(runs_, [&](const auto& aItem) {
    return !aEngines.IsRegistered(aItem.engine_, aItem.startedAt_);
  });
}

} // namespace goldcrestcroft

#include "EndWatch.h"

namespace goldcrestcroft {

namespace {

auto IsOf(const UnansweredRun& aRun, const EngineEntry& aEngine) -> bool
{
  return aRun.engine_ == aEngine.id_ && aRun.startedAt_ == aEngine.startedAt_;
}

/** Takes out what the predicate names and returns it. */
template<typename Predicate>
auto TakeOut(std::vector<UnansweredRun>& aRuns, Predicate aPredicate)
  -> std::vector<LostRun>
{
  std::vector<LostRun> taken;
  std::erase_if(aRuns, [&](const auto& aRun) {
    const auto matches = aPredicate(aRun);
    if (matches) {
      taken.push_back(aRun.run_);
    }
    return matches;
  });
  return taken;
}

} // namespace

auto EndWatch::Add(const UnansweredRun& aRun, TimePoint aNow) -> void
{
  std::erase_if(runs_, [&](const auto& aItem) {
    return aNow - aItem.run_.ended_ >= options_.watchFor_;
  });
  if (runs_.size() >= options_.capacity_) {
    runs_.erase(runs_.begin());
  }
  runs_.push_back(aRun);
}

auto EndWatch::OnHeard(const EngineEntry& aEngine, TimePoint aOpenedAt,
                       TimePoint aNow) -> void
{
  std::erase_if(runs_, [&](const auto& aItem) {
    const auto lostAt = aItem.run_.ended_;
    return IsOf(aItem, aEngine) && lostAt >= aOpenedAt &&
           aNow - lostAt > options_.underWay_;
  });
}

auto EndWatch::OnUnreachable(const EngineEntry& aEngine) -> std::vector<LostRun>
{
  return TakeOut(runs_, [&](const auto& aItem) {
    return aItem.broke_ && IsOf(aItem, aEngine);
  });
}

auto EndWatch::OnEngines(const EngineList& aEngines, TimePoint aNow)
  -> std::vector<LostRun>
{
  std::erase_if(runs_, [&](const auto& aItem) {
    return aEngines.IsDraining(aItem.engine_) ||
           aNow - aItem.run_.ended_ >= options_.watchFor_;
  });
  return TakeOut(runs_, [&](const auto& aItem) {
    return !aEngines.Names(aItem.engine_, aItem.startedAt_);
  });
}

} // namespace goldcrestcroft

#include "EngineChoice.h"

#include <algorithm>
#include <cmath>

namespace goldcrestcroft {

namespace {

/** Weighted rendezvous hashing: an engine of twice the weight is the home of
 * twice as many prompts, and a changed weight moves no prompts between other
 * engines. */
auto HomeScore(const std::string& aPart, const EngineCandidate& aCandidate)
  -> double
{
  constexpr auto kRange = 18446744073709551616.0;
  const auto unit =
    (static_cast<double>(RendezvousWeight(aPart, aCandidate.id_)) + 1.0) /
    (kRange + 2.0);
  return -aCandidate.homeWeight_ / std::log(unit);
}

} // namespace

auto ChooseLeastLoaded(const std::vector<EngineCandidate>& aCandidates,
                       const EngineChoiceOptions& aOptions,
                       const std::string& aSalt) -> std::optional<std::size_t>
{
  std::optional<std::size_t> best;
  auto bestCost = 0.0;
  std::uint64_t bestTie = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const auto& candidate = aCandidates[i];
    const auto otherZone = candidate.zone_ != aOptions.ownZone_;
    const auto cost =
      (candidate.Load() + 1.0 / candidate.slots_) * candidate.slowness_ +
      (otherZone ? aOptions.zonePenalty_ : 0.0);
    const auto tie = RendezvousWeight(aSalt, candidate.id_);
    if (!best || cost < bestCost || (cost == bestCost && tie > bestTie)) {
      best = i;
      bestCost = cost;
      bestTie = tie;
    }
  }
  return best;
}

auto ChooseHome(const std::vector<EngineCandidate>& aCandidates,
                const EngineChoiceOptions& aOptions, const std::string& aPart)
  -> std::optional<std::size_t>
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  auto minLoad = aCandidates.front().Load();
  for (const auto& candidate : aCandidates) {
    minLoad = std::min(minLoad, candidate.Load());
  }
  std::optional<std::size_t> best;
  auto bestScore = 0.0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (aCandidates[i].Load() > minLoad + aOptions.homeTolerance_) {
      continue;
    }
    const auto score = HomeScore(aPart, aCandidates[i]);
    if (!best || score > bestScore) {
      best = i;
      bestScore = score;
    }
  }
  return best;
}

} // namespace goldcrestcroft

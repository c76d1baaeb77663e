#include "EngineChoice.h"

#include <algorithm>

namespace goldcrestcroft {

auto ChooseLeastLoaded(const std::vector<EngineCandidate>& aCandidates,
                       const EngineChoiceOptions& aOptions,
                       const std::string& aSalt) -> std::optional<std::size_t>
{
  std::optional<std::size_t> best;
  auto bestCost = 0.0;
  std::uint64_t bestTie = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const auto& candidate = aCandidates[i];
    const auto away = candidate.zone_ != aOptions.ownZone_;
    const auto cost =
      (candidate.Load() + 1.0 / candidate.slots_) * candidate.slowness_ +
      (away ? aOptions.zonePenalty_ : 0.0);
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
  auto least = aCandidates.front().Load();
  for (const auto& candidate : aCandidates) {
    least = std::min(least, candidate.Load());
  }
  std::optional<std::size_t> best;
  std::uint64_t bestWeight = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (aCandidates[i].Load() > least + aOptions.homeTolerance_) {
      continue;
    }
    const auto weight = RendezvousWeight(aPart, aCandidates[i].id_);
    if (!best || weight > bestWeight) {
      best = i;
      bestWeight = weight;
    }
  }
  return best;
}

} // namespace goldcrestcroft

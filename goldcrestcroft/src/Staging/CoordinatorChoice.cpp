#include "CoordinatorChoice.h"

namespace goldcrestcroft {

auto ChooseCoordinator(const std::string& aService,
                       const std::vector<std::string>& aHosts) -> std::string
{
  std::string best;
  std::uint64_t bestWeight = 0;
  for (const auto& host : aHosts) {
    const auto weight = RendezvousWeight(aService, host);
    if (best.empty() || weight > bestWeight) {
      best = host;
      bestWeight = weight;
    }
  }
  return best;
}

} // namespace goldcrestcroft

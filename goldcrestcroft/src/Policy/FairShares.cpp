#include "FairShares.h"

#include <algorithm>
#include <numeric>

namespace goldcrestcroft {

auto FairShares(double aCapacity, const std::vector<ShareClaim>& aClaims)
  -> std::vector<double>
{
  std::vector<std::size_t> order(aClaims.size());
  std::iota(order.begin(), order.end(), 0);
  // Water-filling: claims are settled in order of demand per weight. Capacity
  // that a claim leaves unused raises the level for the following ones.
  std::sort(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
    return aClaims[aLeft].demand_ * aClaims[aRight].weight_ <
           aClaims[aRight].demand_ * aClaims[aLeft].weight_;
  });
  auto remainingWeight = 0.0;
  for (const auto& claim : aClaims) {
    remainingWeight += claim.weight_;
  }
  std::vector<double> shares(aClaims.size(), 0.0);
  for (const auto index : order) {
    const auto& claim = aClaims[index];
    const auto level = aCapacity * claim.weight_ / remainingWeight;
    shares[index] = std::min(claim.demand_, level);
    aCapacity -= shares[index];
    remainingWeight -= claim.weight_;
  }
  return shares;
}

} // namespace goldcrestcroft

#pragma once

#include <vector>

namespace goldcrestcroft {

/** \brief One workspace's demand on a pool, summed over all entry hosts. */
struct ShareClaim
{
  double demand_ = 0.0;
  double weight_ = 1.0;
};

/** \brief Weighted max-min fair shares of aCapacity, one per claim.
 *
 * No claim gets more than its demand; unused capacity goes to the other claims
 * by weight. The shares add up to the smaller of capacity and total demand. */
auto FairShares(double aCapacity, const std::vector<ShareClaim>& aClaims)
  -> std::vector<double>;

} // namespace goldcrestcroft

#pragma once

#include <vector>

namespace goldcrestcroft {

/** \brief What one workspace asks of a pool, over all entry hosts. */
struct ShareClaim
{
  double demand_ = 0.0;
  double weight_ = 1.0;
};

/** \brief Weighted max-min fair shares of aCapacity, one per claim.
 *
 * Nobody gets more than its demand; what one leaves goes to the others by
 * weight. The shares add up to the smaller of capacity and total demand. */
auto FairShares(double aCapacity, const std::vector<ShareClaim>& aClaims)
  -> std::vector<double>;

} // namespace goldcrestcroft

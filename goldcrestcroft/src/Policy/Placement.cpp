#include "Placement.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

auto UtilizationAfter(const PoolUse& aPool, int aChange) -> double
{
  const auto copies = static_cast<double>(aPool.copies_) + aChange;
  constexpr double kNoCopiesUtilization = 1e9;
  return copies > 0.0
           ? aPool.neededCopies_ / copies
           : (aPool.neededCopies_ > 0.0 ? kNoCopiesUtilization : 0.0);
}

} // namespace

auto Placement::FindChange(const std::vector<PoolUse>& aPools) const
  -> std::vector<RoleChange>
{
  const PoolUse* recipient = nullptr;
  const PoolUse* donor = nullptr;
  for (const auto& pool : aPools) {
    const auto utilization = UtilizationAfter(pool, 0);
    if (pool.copies_ < pool.licensedCopies_ &&
        utilization > options_.busyAbove_ &&
        (recipient == nullptr ||
         utilization > UtilizationAfter(*recipient, 0))) {
      recipient = &pool;
    }
    if (pool.copies_ > 1 && UtilizationAfter(pool, -1) < options_.idleBelow_ &&
        (donor == nullptr ||
         UtilizationAfter(pool, -1) < UtilizationAfter(*donor, -1))) {
      donor = &pool;
    }
  }
  if (recipient == nullptr || donor == nullptr) {
    return {};
  }
  return { { .from_ = donor->pool_, .to_ = recipient->pool_ } };
}

auto Placement::Plan(const std::vector<PoolUse>& aPools, TimePoint aNow)
  -> std::vector<RoleChange>
{
  auto change = FindChange(aPools);
  if (change != pending_) {
    pending_ = std::move(change);
    pendingSince_ = aNow;
    return {};
  }
  if (pending_.empty() || aNow - pendingSince_ < options_.settle_ ||
      aNow < nextChange_) {
    return {};
  }
  nextChange_ = aNow + options_.minChangeInterval_;
  return std::exchange(pending_, {});
}

} // namespace goldcrestcroft

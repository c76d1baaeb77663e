#include "Placement.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

auto UseAfter(const PoolUse& aPool, int aChange) -> double
{
  const auto copies = static_cast<double>(aPool.copies_) + aChange;
  constexpr double kNoCopies = 1e9;
  return copies > 0.0 ? aPool.neededCopies_ / copies
                      : (aPool.neededCopies_ > 0.0 ? kNoCopies : 0.0);
}

} // namespace

auto Placement::FindChange(const std::vector<PoolUse>& aPools) const
  -> std::vector<RoleChange>
{
  const PoolUse* taker = nullptr;
  const PoolUse* giver = nullptr;
  for (const auto& pool : aPools) {
    const auto use = UseAfter(pool, 0);
    if (pool.copies_ < pool.licensedCopies_ && use > options_.busyAbove_ &&
        (taker == nullptr || use > UseAfter(*taker, 0))) {
      taker = &pool;
    }
    if (pool.copies_ > 1 && UseAfter(pool, -1) < options_.idleBelow_ &&
        (giver == nullptr || UseAfter(pool, -1) < UseAfter(*giver, -1))) {
      giver = &pool;
    }
  }
  if (taker == nullptr || giver == nullptr) {
    return {};
  }
  return { { .from_ = giver->pool_, .to_ = taker->pool_ } };
}

auto Placement::Plan(const std::vector<PoolUse>& aPools, TimePoint aNow)
  -> std::vector<RoleChange>
{
  auto change = FindChange(aPools);
  if (change != wanted_) {
    wanted_ = std::move(change);
    wantedSince_ = aNow;
    return {};
  }
  if (wanted_.empty() || aNow - wantedSince_ < options_.settle_ ||
      aNow < nextChange_) {
    return {};
  }
  nextChange_ = aNow + options_.loadPeriod_;
  return std::exchange(wanted_, {});
}

} // namespace goldcrestcroft

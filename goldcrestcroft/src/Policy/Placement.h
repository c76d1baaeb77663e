#pragma once

#include "../../Core.h"

#include <vector>

namespace goldcrestcroft {

/** \brief How much of one pool's licensed copies is used. */
struct PoolUse
{
  PoolId pool_;
  unsigned licensedCopies_ = 0;
  /** Copies that hold the role now. */
  unsigned copies_ = 0;
  /** Copies that the offered work would keep busy. */
  double neededCopies_ = 0.0;

  auto operator<=>(const PoolUse&) const = default;
};

/** \brief One copy changes its role. */
struct RoleChange
{
  PoolId from_;
  PoolId to_;

  auto operator<=>(const RoleChange&) const = default;
};

/** \brief Moves copies between pools that may trade them, by demand.
 *
 * One change at a time, only when the giver stays below and the taker is above
 * the bounds, and not again for a while: loading weights is slow and the weight
 * store is rate-limited. Never above the licensed number of a pool. */
class Placement
{
public:
  struct Options
  {
    /** The taker is short when it uses more than this part of its copies. */
    double busyAbove_ = 0.85;
    /** The giver can spare when it would still use less than this part. */
    double idleBelow_ = 0.6;
    /** How long both must hold before a change, against bursts. */
    Duration settle_ = std::chrono::seconds{ 10 };
    /** Least time between changes, by what the weight store allows. */
    Duration loadPeriod_ = std::chrono::seconds{ 30 };
  };

  explicit Placement(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief The next change to order, if any. aPools may trade freely. */
  auto Plan(const std::vector<PoolUse>& aPools, TimePoint aNow)
    -> std::vector<RoleChange>;

private:
  [[nodiscard]] auto FindChange(const std::vector<PoolUse>& aPools) const
    -> std::vector<RoleChange>;

  Options options_;
  std::vector<RoleChange> wanted_;
  TimePoint wantedSince_{};
  TimePoint nextChange_{};
};

} // namespace goldcrestcroft

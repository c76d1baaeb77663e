#pragma once

#include "../../Core.h"

#include <vector>

namespace goldcrestcroft {

/** \brief Copies of one pool: licensed, in place and needed. */
struct PoolUse
{
  PoolId pool_;
  unsigned licensedCopies_ = 0;
  /** Copies that serve this pool now. */
  unsigned copies_ = 0;
  /** Copies that the offered load would keep busy. */
  double neededCopies_ = 0.0;

  auto operator<=>(const PoolUse&) const = default;
};

/** \brief Moves one copy from one pool to another. */
struct RoleChange
{
  PoolId from_;
  PoolId to_;

  auto operator<=>(const RoleChange&) const = default;
};

/** \brief Plans the moves of copies between pools by demand.
 *
 * Plans one change at a time, and only while the recipient's utilization is
 * above busyAbove_ and the donor's would stay below idleBelow_. Changes are
 * spaced out, because loading weights is slow and the weight store is
 * rate-limited. A pool never gets more copies than it is licensed for. */
class Placement
{
public:
  struct Options
  {
    /** A pool above this utilization needs another copy. */
    double busyAbove_ = 0.85;
    /** A pool can give up a copy if its utilization without that copy would
     * be below this. */
    double idleBelow_ = 0.6;
    /** Time for which a change must stay indicated before it is ordered, so
     * that bursts do not cause one. */
    Duration settle_ = std::chrono::seconds{ 10 };
    /** Minimum time between changes, from the rate limit of the weight
     * store. */
    Duration minChangeInterval_ = std::chrono::seconds{ 30 };
  };

  explicit Placement(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief The next change to order, if any. The configuration must allow
   * copies to move between any two of aPools. */
  auto Plan(const std::vector<PoolUse>& aPools, TimePoint aNow)
    -> std::vector<RoleChange>;

private:
  [[nodiscard]] auto FindChange(const std::vector<PoolUse>& aPools) const
    -> std::vector<RoleChange>;

  Options options_;
  std::vector<RoleChange> pending_;
  TimePoint pendingSince_{};
  TimePoint nextChange_{};
};

} // namespace goldcrestcroft

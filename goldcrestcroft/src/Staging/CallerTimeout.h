#pragma once

#include "../Routing/Route.h"

#include <algorithm>

namespace goldcrestcroft {

/** \brief How long a caller waits for the first event of a stream, regardless
 * of its deadline.
 *
 * Callers document that they disconnect after the longest of three times, so a
 * response that starts later reaches nobody. */
struct CallerTimeout
{
  /** The values that callers document: a minimum, and multiples of the route's
   * objective and of its gap objective. */
  Duration minimum_ = std::chrono::seconds{ 2 };
  int objectiveFactor_ = 4;
  int gapFactor_ = 8;

  [[nodiscard]] auto FirstEventTimeout(const Route& aRoute) const -> Duration
  {
    if (aRoute.kind_ != RouteKind::Streaming) {
      return aRoute.timeout_;
    }
    return std::max({ minimum_, aRoute.objective_ * objectiveFactor_,
                      aRoute.gapObjective_.value_or(Duration{}) * gapFactor_ });
  }
};

} // namespace goldcrestcroft

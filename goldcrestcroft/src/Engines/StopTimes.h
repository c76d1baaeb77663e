#pragma once

#include "../../Core.h"

#include <algorithm>

namespace goldcrestcroft {

/** \brief Schedule of a host's shutdown within the grace period that the
 * platform grants. */
class StopTimes
{
public:
  StopTimes(TimePoint aStoppedAt, Duration aGrace)
    : stoppedAt_(aStoppedAt)
    , grace_(aGrace)
  {
  }

  [[nodiscard]] auto StoppedAt() const -> TimePoint { return stoppedAt_; }
  /** \brief Until when new callers are accepted, if they may know the host's
   * address for aDiscoverableFor. */
  [[nodiscard]] auto ServeUntil(Duration aDiscoverableFor) const -> TimePoint
  {
    return stoppedAt_ + std::min(aDiscoverableFor, grace_ - grace_ / 4);
  }
  /** \brief When requests without a response get a local reply. The platform
   * excuses requests that an engine works on in the last sixth of the
   * grace period. */
  [[nodiscard]] auto ResponseDeadline() const -> TimePoint
  {
    return stoppedAt_ + grace_ - std::min(kMaxForResponses, grace_ / 6);
  }
  /** \brief When responses in progress are cut off; the remaining time is for
   * the exit of the process. */
  [[nodiscard]] auto EndStreams() const -> TimePoint
  {
    return stoppedAt_ + grace_ - std::min(kMaxForExit, grace_ / 12);
  }

private:
  /** Time for responses to reach callers, on a host with a small share of a
   * CPU core. */
  static constexpr Duration kMaxForResponses =
    std::chrono::milliseconds{ 1000 };
  static constexpr Duration kMaxForExit = std::chrono::milliseconds{ 700 };

  TimePoint stoppedAt_;
  Duration grace_;
};

} // namespace goldcrestcroft

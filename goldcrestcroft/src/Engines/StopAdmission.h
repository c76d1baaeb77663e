#pragma once

#include "../../Core.h"
#include "StopTimes.h"

#include <algorithm>
#include <optional>

namespace goldcrestcroft {

/** \brief Which requests a host still admits while it shuts down.
 *
 * Callers keep the host's address for a while, so it continues to serve. A
 * request that might not complete before the host exits is refused, since
 * another host can serve it completely. */
class StopAdmission
{
public:
  struct Options
  {
    /** For this long, requests are admitted whatever their duration. */
    Duration admitAllFor_ = std::chrono::milliseconds{ 1000 };
    /** Up to this time, requests are admitted by their typical latency, for as
     * long as the platform excuses that a request is cut off at the end: 3 s,
     * less the time that the delivery of the signal may have taken. */
    Duration estimateFor_ = std::chrono::milliseconds{ 2500 };
    /** Requests are assumed to take up to this many times their typical
     * latency. */
    double latencyFactor_ = 2.0;
  };

  explicit StopAdmission(StopTimes aTimes)
    : StopAdmission(Options{}, aTimes)
  {
  }
  StopAdmission(Options aOptions, StopTimes aTimes)
    : options_(aOptions)
    , times_(aTimes)
  {
  }

  /** \brief Whether a request that arrives now is admitted. Its typical latency
   * is aTypical, if known; it takes aMaxDuration at most. */
  [[nodiscard]] auto Admits(std::optional<Duration> aTypical,
                            Duration aMaxDuration, TimePoint aNow) const -> bool
  {
    const auto since = aNow - times_.StoppedAt();
    if (since < options_.admitAllFor_ ||
        aNow + aMaxDuration <= times_.ResponseDeadline()) {
      return true;
    }
    const auto scaled = [&](Duration aTime) {
      return Duration(static_cast<Duration::rep>(
        static_cast<double>(aTime.count()) * options_.latencyFactor_));
    };
    return since <= options_.estimateFor_ && aTypical &&
           aNow + scaled(*aTypical) <= times_.ResponseDeadline();
  }

private:
  Options options_;
  StopTimes times_;
};

} // namespace goldcrestcroft

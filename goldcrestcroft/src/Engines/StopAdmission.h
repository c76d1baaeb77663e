#pragma once

#include "../../Core.h"
#include "StopTimes.h"

#include <algorithm>
#include <optional>

namespace goldcrestcroft {

/** \brief What a host that is about to end still takes.
 *
 * Callers keep its address for a while, so it serves on; but a request that
 * might not end before the host does is refused, since elsewhere it is served
 * whole. */
class StopAdmission
{
public:
  struct Options
  {
    /** Requests of the first part of the time are taken whatever they take. */
    Duration takeAllFor_ = std::chrono::milliseconds{ 1000 };
    /** Then they are taken by what they usually take, for as long as the
     * platform excuses that a request is broken off in the end: 3 s, less what
     * the signal's own way may have taken. */
    Duration estimateFor_ = std::chrono::milliseconds{ 2500 };
    /** Requests take up to so many times what they usually do. */
    double patience_ = 2.0;
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

  /** \brief Whether a request that comes now is taken: it usually takes aUsual,
   * if that is known, and aLongest at most. */
  [[nodiscard]] auto Takes(std::optional<Duration> aUsual, Duration aLongest,
                           TimePoint aNow) const -> bool
  {
    const auto since = aNow - times_.StoppedAt();
    if (since < options_.takeAllFor_ ||
        aNow + aLongest <= times_.EndAnswers()) {
      return true;
    }
    const auto most = [&](Duration aTime) {
      return Duration(static_cast<Duration::rep>(
        static_cast<double>(aTime.count()) * options_.patience_));
    };
    return since <= options_.estimateFor_ && aUsual &&
           aNow + most(*aUsual) <= times_.EndAnswers();
  }

private:
  Options options_;
  StopTimes times_;
};

} // namespace goldcrestcroft

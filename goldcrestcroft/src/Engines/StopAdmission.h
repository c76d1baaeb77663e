#pragma once

#include "../../Core.h"

#include <algorithm>

namespace goldcrestcroft {

/** \brief What a host that is about to end still takes.
 *
 * Callers keep its address for a while, so it serves on; but a request that
 * would not end before the host does is refused, since elsewhere it is served
 * whole. */
class StopAdmission
{
public:
  struct Options
  {
    /** Requests of the first part of the time are taken whatever they take: the
     * platform leaves them the rest of it. */
    Duration takeAllFor_ = std::chrono::milliseconds{ 1000 };
    /** Requests take up to so many times what they usually do. */
    double patience_ = 2.0;
  };

  StopAdmission(TimePoint aStoppedAt, TimePoint aEnd)
    : StopAdmission(Options{}, aStoppedAt, aEnd)
  {
  }
  StopAdmission(Options aOptions, TimePoint aStoppedAt, TimePoint aEnd)
    : options_(aOptions)
    , stoppedAt_(aStoppedAt)
    , end_(aEnd)
  {
  }

  /** \brief Whether a request that comes now and usually takes aUsual will end
   * in time; aLongest bounds what it may take. */
  [[nodiscard]] auto Takes(Duration aUsual, Duration aLongest,
                           TimePoint aNow) const -> bool
  {
    const auto most = Duration(static_cast<Duration::rep>(
      static_cast<double>(aUsual.count()) * options_.patience_));
    return aNow + std::min(most, aLongest) <= end_ ||
           aNow - stoppedAt_ < options_.takeAllFor_;
  }
  [[nodiscard]] auto End() const -> TimePoint { return end_; }

private:
  Options options_;
  TimePoint stoppedAt_;
  TimePoint end_;
};

} // namespace goldcrestcroft

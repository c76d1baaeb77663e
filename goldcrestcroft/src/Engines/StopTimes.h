#pragma once

#include "../../Core.h"

#include <algorithm>

namespace goldcrestcroft {

/** \brief When a host that was told to stop ends what, within the time that
 * the platform leaves it. */
class StopTimes
{
public:
  StopTimes(TimePoint aStoppedAt, Duration aGrace)
    : stoppedAt_(aStoppedAt)
    , grace_(aGrace)
  {
  }

  [[nodiscard]] auto StoppedAt() const -> TimePoint { return stoppedAt_; }
  /** \brief New callers are taken until then, if they may know its address for
   * so long. */
  [[nodiscard]] auto ServeUntil(Duration aKnownFor) const -> TimePoint
  {
    return stoppedAt_ + std::min(aKnownFor, grace_ - grace_ / 4);
  }
  /** \brief What has no answer yet gets one then. The platform excuses what an
   * engine works on in the last sixth of the time. */
  [[nodiscard]] auto EndAnswers() const -> TimePoint
  {
    return stoppedAt_ + grace_ - std::min(kMostForAnswers, grace_ / 6);
  }
  /** \brief Answers that have begun are broken off then; the rest is for the
   * end of the process. */
  [[nodiscard]] auto EndStreams() const -> TimePoint
  {
    return stoppedAt_ + grace_ - std::min(kMostForExit, grace_ / 12);
  }

private:
  /** Time in which answers reach callers, on a host with little of a core. */
  static constexpr Duration kMostForAnswers = std::chrono::milliseconds{ 1000 };
  static constexpr Duration kMostForExit = std::chrono::milliseconds{ 700 };

  TimePoint stoppedAt_;
  Duration grace_;
};

} // namespace goldcrestcroft

#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief When the stages of one request are due, so that its first event can
 * come within the route's objective. */
class StageDue
{
public:
  StageDue(TimePoint aArrivedAt, Duration aObjective)
    : from_(aArrivedAt)
    , objective_(aObjective)
  {
  }

  /** \brief A stream that had begun goes on elsewhere: its stages are made
   * again. Their old due times have passed, and what is late goes last. */
  auto OnResumed(TimePoint aNow) -> void { from_ = aNow; }

  /** \brief aDepth is the stages in a row to the end, this one included;
   * aFirstEvent is the time from the last result to the first event. */
  [[nodiscard]] auto Of(std::size_t aDepth, Duration aFirstEvent) const
    -> TimePoint
  {
    const auto after = static_cast<Duration::rep>(aDepth) - 1;
    return from_ + objective_ - aFirstEvent - kUsualStageTime * after;
  }

private:
  /** What one stage takes from order to result on a calm day. */
  static constexpr Duration kUsualStageTime = std::chrono::milliseconds{ 420 };

  TimePoint from_;
  Duration objective_;
};

} // namespace goldcrestcroft

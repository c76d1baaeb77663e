#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief Computes when the stages of one request are due, so that its first
 * event can meet the route's objective. */
class StageDue
{
public:
  StageDue(TimePoint aArrivedAt, Duration aObjective)
    : start_(aArrivedAt)
    , objective_(aObjective)
  {
  }

  /** \brief A stream that had started resumes on another engine and its stages
   * run again. Due times count from aNow: the old ones have passed, and late
   * orders are served last. */
  auto OnResumed(TimePoint aNow) -> void { start_ = aNow; }

  /** \brief Returns the due time of a stage. aDepth is the length of the
   * longest chain from this stage to the end, this stage included; aFirstEvent
   * is the time from the last result to the first event. */
  [[nodiscard]] auto Of(std::size_t aDepth, Duration aFirstEvent) const
    -> TimePoint
  {
    const auto after = static_cast<Duration::rep>(aDepth) - 1;
    return start_ + objective_ - aFirstEvent - kTypicalStageTime * after;
  }

private:
  /** Time of one stage from order to result when nothing is overloaded. */
  static constexpr Duration kTypicalStageTime =
    std::chrono::milliseconds{ 420 };

  TimePoint start_;
  Duration objective_;
};

} // namespace goldcrestcroft

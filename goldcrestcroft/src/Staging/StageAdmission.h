#pragma once

#include "ChainForecast.h"
#include "FirstEventTime.h"

namespace goldcrestcroft {

/** \brief How long a request may wait for its stages before it is refused.
 *
 * Answers bursts beyond what stage services can make: a request that would be
 * late is refused at once, so that its caller may come back and its pieces do
 * not delay others. Less urgent routes give way first. */
struct StageAdmission
{
  /** What a model engine takes to its first event. */
  Duration firstEvent_ = FirstEventTime{}.Usual();
  /** Part of the spare time that the two most urgent ranks may wait: while
   * load rises, waits come out longer than forecast. */
  double mostSpare_ = 0.7;
  /** Part that each rank after these may wait less than the one before, and
   * the part that every rank may wait. */
  double sparePerRank_ = 0.4;
  double leastSpare_ = 0.3;
  /** Waits below this are no overload; nothing is refused for them. */
  Duration calmWait_ = std::chrono::milliseconds{ 150 };

  /** \brief The longest wait with which a request is admitted. aObjective is
   * the route's, aRank its rank, 0 for the most urgent. */
  [[nodiscard]] auto AllowedWait(const ChainForecast& aForecast,
                                 Duration aObjective, int aRank) const
    -> Duration;
  [[nodiscard]] auto Admits(const ChainForecast& aForecast, Duration aObjective,
                            int aRank) const -> bool
  {
    return aForecast.waiting_ <= AllowedWait(aForecast, aObjective, aRank);
  }
};

} // namespace goldcrestcroft

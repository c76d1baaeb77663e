#pragma once

#include "ChainForecast.h"
#include "FirstEventTime.h"

namespace goldcrestcroft {

/** \brief Admission control: how long a request may wait for its stages.
 *
 * Handles bursts that exceed the capacity of the stage services. A request that
 * would be late is refused at once, so that its caller can retry and its pieces
 * do not delay others. Less urgent routes are refused first. */
struct StageAdmission
{
  /** Ranks up to this one are allowed the longest wait. */
  static constexpr int kUrgentRank = 1;
  /** Time that a model engine takes to its first event. */
  Duration firstEvent_ = FirstEventTime{}.Typical();
  /** Share of the spare time that the two most urgent ranks may wait. Less than
   * 1, because waits exceed the forecast while the load rises. */
  double maxSpareShare_ = 0.7;
  /** How much the share decreases with each rank after the two most urgent. */
  double spareSharePerRank_ = 0.4;
  /** Minimum share of every rank. */
  double minSpareShare_ = 0.3;
  /** One in this many requests is admitted like those of the most urgent ranks,
   * so that no kind of request is starved. */
  std::uint64_t urgentEvery_ = 2;
  /** Waits up to this are not a sign of overload and are always admitted. */
  Duration alwaysAllowedWait_ = std::chrono::milliseconds{ 150 };

  /** \brief Returns the longest wait with which a request is admitted.
   * aObjective is the route's objective and aRank its rank, 0 for the most
   * urgent. */
  [[nodiscard]] auto AllowedWait(const ChainForecast& aForecast,
                                 Duration aObjective, int aRank) const
    -> Duration;
  [[nodiscard]] auto Admits(const ChainForecast& aForecast, Duration aObjective,
                            int aRank) const -> bool
  {
    return aForecast.waiting_ <= AllowedWait(aForecast, aObjective, aRank);
  }
  /** \brief Returns the rank by which a request is admitted. aNumber is
   * pseudo-random among the requests of a route, such as a hash of the id. */
  [[nodiscard]] auto AdmissionRank(int aRank, std::uint64_t aNumber) const
    -> int
  {
    return aNumber % urgentEvery_ == 0 ? std::min(aRank, kUrgentRank) : aRank;
  }
};

} // namespace goldcrestcroft

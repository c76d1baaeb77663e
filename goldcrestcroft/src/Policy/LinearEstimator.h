#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief Learns duration = base + slope * size from observations, the recent
 * ones weighing more. */
class LinearEstimator
{
public:
  struct Options
  {
    /** What is said before anything was observed. */
    Duration initial_{ 0 };
    /** Weight of one new observation. */
    double gain_ = 0.02;
  };

  explicit LinearEstimator(Options aOptions);

  auto Observe(double aSize, Duration aDuration) -> void;
  /** \brief Expected duration of work of this size. */
  [[nodiscard]] auto Estimate(double aSize) const -> Duration;
  /** \brief Expected duration of work of the mean size. */
  [[nodiscard]] auto Mean() const -> Duration;

private:
  double gain_;
  double weight_ = 0.0;
  double meanSize_ = 1.0;
  double meanDuration_;
  double sizeVariance_ = 0.0;
  double covariance_ = 0.0;
};

} // namespace goldcrestcroft

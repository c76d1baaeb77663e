#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief Fits duration = base + slope * size by linear regression with
 * exponentially decaying weights. */
class LinearEstimator
{
public:
  struct Options
  {
    /** Estimate before the first observation. */
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

#include "LinearEstimator.h"

#include <algorithm>

namespace goldcrestcroft {

LinearEstimator::LinearEstimator(Options aOptions)
  : gain_(aOptions.gain_)
  , meanDuration_(static_cast<double>(aOptions.initial_.count()))
{
}

auto LinearEstimator::Observe(double aSize, Duration aDuration) -> void
{
  // Early observations are averaged with equal weight, so that the first one
  // replaces the initial estimate; later ones decay exponentially.
  weight_ = std::max(gain_, weight_ == 0.0 ? 1.0 : weight_ / (1.0 + weight_));
  const auto duration = static_cast<double>(aDuration.count());
  const auto sizeStep = aSize - meanSize_;
  const auto durationStep = duration - meanDuration_;
  meanSize_ += weight_ * sizeStep;
  meanDuration_ += weight_ * durationStep;
  const auto decay = 1.0 - weight_;
  sizeVariance_ = decay * (sizeVariance_ + weight_ * sizeStep * sizeStep);
  covariance_ = decay * (covariance_ + weight_ * sizeStep * durationStep);
}

auto LinearEstimator::Estimate(double aSize) const -> Duration
{
  constexpr double kFlat = 1e-9;
  const auto slope =
    sizeVariance_ > kFlat ? std::max(0.0, covariance_ / sizeVariance_) : 0.0;
  const auto estimate = meanDuration_ + slope * (aSize - meanSize_);
  return Duration(static_cast<Duration::rep>(std::max(0.0, estimate)));
}

auto LinearEstimator::Mean() const -> Duration
{
  return Duration(static_cast<Duration::rep>(meanDuration_));
}

} // namespace goldcrestcroft

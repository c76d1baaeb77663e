#include "StragglerDetector.h"

#include <algorithm>
#include <vector>

namespace goldcrestcroft {

auto StragglerDetector::Observe(const ServerId& aServer, double aSlowness)
  -> void
{
  auto& state = states_[aServer];
  ++state.samples_;
  // An ejected server is observed only by rare probes, so each weighs more.
  constexpr double kProbeGain = 0.5;
  const auto gain = state.ejected_ ? kProbeGain : options_.gain_;
  state.slowness_ += gain * (aSlowness - state.slowness_);
}

auto StragglerDetector::Reevaluate(const std::vector<ServerId>& aPool) -> void
{
  std::vector<double> slowness;
  std::size_t ejected = 0;
  for (const auto& server : aPool) {
    const auto found = states_.find(server);
    if (found == states_.end() ||
        found->second.samples_ < options_.minSamples_) {
      slowness.push_back(1.0);
      continue;
    }
    slowness.push_back(found->second.slowness_);
    ejected += found->second.ejected_ ? 1 : 0;
  }
  if (slowness.empty()) {
    return;
  }
  const auto middle = slowness.begin() + static_cast<long>(slowness.size() / 2);
  std::nth_element(slowness.begin(), middle, slowness.end());
  const auto median = std::max(*middle, 0.1);
  const auto maxEjected = static_cast<std::size_t>(
    options_.maxEjected_ * static_cast<double>(aPool.size()));
  for (const auto& server : aPool) {
    const auto found = states_.find(server);
    if (found == states_.end() ||
        found->second.samples_ < options_.minSamples_) {
      continue;
    }
    auto& state = found->second;
    const auto ratio = state.slowness_ / median;
    if (!state.ejected_ && ratio > options_.ejectFactor_ &&
        ejected < maxEjected) {
      state.ejected_ = true;
      ++ejected;
    } else if (state.ejected_ && ratio < options_.returnFactor_) {
      state.ejected_ = false;
      --ejected;
    }
  }
}

auto StragglerDetector::IsEjected(const ServerId& aServer) const -> bool
{
  const auto found = states_.find(aServer);
  return found != states_.end() && found->second.ejected_;
}

auto StragglerDetector::TryProbe(const ServerId& aServer, TimePoint aNow)
  -> bool
{
  auto& state = states_[aServer];
  if (aNow < state.nextProbe_) {
    return false;
  }
  state.nextProbe_ = aNow + options_.probePeriod_;
  return true;
}

auto StragglerDetector::Slowness(const ServerId& aServer) const -> double
{
  const auto found = states_.find(aServer);
  return found == states_.end() ? 1.0 : found->second.slowness_;
}

} // namespace goldcrestcroft

#pragma once

#include "EngineLimit.h"

#include <algorithm>

namespace goldcrestcroft {

/** \brief All limits on the rate at which all hosts together may send requests
 * to one incarnation of an engine; the lowest applies. */
struct RateLimits
{
  std::string engine_;
  /** Unix milliseconds; 0 if the engine does not report it. */
  std::uint64_t startedAt_ = 0;
  /** The limit that the engine advertises in its responses. */
  std::optional<EngineLimit> advertised_;
  /** Requests per second that the configuration allows while the engine warms
   * up; none if it does not. */
  std::optional<double> warmUpPerSecond_;

  auto operator<=>(const RateLimits&) const = default;

  [[nodiscard]] auto PerSecond() const -> std::optional<double>
  {
    const auto advertised =
      advertised_ ? advertised_->perSecond_ : std::nullopt;
    return advertised && warmUpPerSecond_
             ? std::min(advertised, warmUpPerSecond_)
             : std::max(advertised, warmUpPerSecond_);
  }
};

} // namespace goldcrestcroft

#pragma once

#include "../../Core.h"

#include <optional>

namespace goldcrestcroft {

/** \brief Typical latency of one kind of request, learned from completed
 * requests. */
class LatencyEstimate
{
public:
  auto AddSample(Duration aLatency) -> void
  {
    const auto mean = mean_.value_or(aLatency);
    const auto error = aLatency > mean ? aLatency - mean : mean - aLatency;
    deviation_ += (error - deviation_) / kSmoothingDivisor;
    mean_ = mean + (aLatency - mean) / kSmoothingDivisor;
  }
  /** \brief A latency that covers most requests; none before the first one has
   * completed. */
  [[nodiscard]] auto Typical() const -> std::optional<Duration>
  {
    return mean_ ? std::optional(*mean_ + 2 * deviation_) : std::nullopt;
  }

private:
  /** The newest sample has a weight of one in this many. */
  static constexpr Duration::rep kSmoothingDivisor = 16;

  std::optional<Duration> mean_;
  Duration deviation_{};
};

} // namespace goldcrestcroft

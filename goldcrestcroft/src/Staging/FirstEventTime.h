#pragma once

#include "../../Core.h"

#include <algorithm>

namespace goldcrestcroft {

/** \brief Estimates the time from the last stage result to the first event of a
 * model engine, for requests of one route.
 *
 * Prompt lengths differ widely between routes. With one estimate for all
 * routes, requests with long prompts would wait for their stages until they are
 * late. */
class FirstEventTime
{
public:
  auto OnFirstEvent(Duration aTook) -> void
  {
    const auto took = std::min(aTook, kMaxSample);
    const auto deviation = took > mean_ ? took - mean_ : mean_ - took;
    mean_ += (took - mean_) / kSmoothingDivisor;
    deviation_ += (deviation - deviation_) / kSmoothingDivisor;
  }
  /** \brief Mean plus deviation, which covers most requests. */
  [[nodiscard]] auto Typical() const -> Duration { return mean_ + deviation_; }

private:
  /** Weight of a new sample is one over this. */
  static constexpr Duration::rep kSmoothingDivisor = 16;
  /** Longer samples are clamped to this: they indicate a failing engine and not
   * a long prompt. */
  static constexpr Duration kMaxSample = std::chrono::milliseconds{ 1500 };

  Duration mean_ = std::chrono::milliseconds{ 150 };
  Duration deviation_ = std::chrono::milliseconds{ 100 };
};

} // namespace goldcrestcroft

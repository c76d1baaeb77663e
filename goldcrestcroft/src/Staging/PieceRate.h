#pragma once

#include "../../Core.h"

#include <deque>

namespace goldcrestcroft {

/** \brief Pieces produced per second over a sliding window.
 *
 * While pieces wait, this rate is the capacity of the service, whatever the
 * bottleneck is. */
class PieceRate
{
public:
  auto OnProduced(std::size_t aPieces, TimePoint aNow) -> void
  {
    DropExpired(aNow);
    samples_.push_back({ .at_ = aNow, .pieces_ = aPieces });
    sum_ += aPieces;
  }
  [[nodiscard]] auto PerSecond(TimePoint aNow) -> double
  {
    DropExpired(aNow);
    return static_cast<double>(sum_) /
           std::chrono::duration<double>(kWindow).count();
  }

private:
  /** Spans several calls, so that the rate is stable, and is short compared to
   * the seconds for which an overload lasts. */
  static constexpr Duration kWindow = std::chrono::milliseconds{ 1000 };
  struct Sample
  {
    TimePoint at_;
    std::size_t pieces_ = 0;
  };

  auto DropExpired(TimePoint aNow) -> void
  {
    while (!samples_.empty() && aNow - samples_.front().at_ > kWindow) {
      sum_ -= samples_.front().pieces_;
      samples_.pop_front();
    }
  }

  std::deque<Sample> samples_;
  std::size_t sum_ = 0;
};

} // namespace goldcrestcroft

#pragma once

#include "../../Core.h"

#include <cstdint>
#include <deque>

namespace goldcrestcroft {

/** \brief This host's part of the budget for repeats that all hosts share.
 *
 * In any window the hosts together may send ratio x requests + slack repeats
 * to a service. Each host counts its own requests and an equal part of the
 * slack, so the sum holds without a word between them. */
class RepeatWindow
{
public:
  struct Options
  {
    Duration window_ = std::chrono::seconds{ 10 };
    double ratio_ = 0.2;
    /** Repeats allowed to all hosts beside the ratio. */
    double slack_ = 50.0;
    /** Part of the allowance in use; the rest covers hosts that count
     * requests of the window before. */
    double margin_ = 0.7;
  };

  explicit RepeatWindow(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Changes the allowance; what was counted stays. */
  auto SetBudget(double aRatio, double aSlack) -> void
  {
    options_.ratio_ = aRatio;
    options_.slack_ = aSlack;
  }
  auto OnRequest(TimePoint aNow) -> void;
  /** \brief Takes one repeat if aHosts hosts may afford it. */
  auto TryTake(std::size_t aHosts, TimePoint aNow) -> bool;

private:
  static constexpr std::uint32_t kSlices = 10;
  struct Slice
  {
    std::int64_t number_ = 0;
    std::uint32_t requests_ = 0;
    std::uint32_t repeats_ = 0;
  };

  auto Current(TimePoint aNow) -> Slice&;

  Options options_;
  std::deque<Slice> slices_;
};

} // namespace goldcrestcroft

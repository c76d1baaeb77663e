#pragma once

#include "../../Core.h"

#include <cstdint>
#include <deque>

namespace goldcrestcroft {

/** \brief This host's part of the retry budget that all hosts share.
 *
 * In any window, all hosts together may send ratio x requests + slack retries
 * to a service. Each host counts its own requests and an equal part of the
 * slack, so the total holds without communication between hosts. */
class RetryWindow
{
public:
  struct Options
  {
    Duration window_ = std::chrono::seconds{ 10 };
    double ratio_ = 0.2;
    /** Retries allowed to all hosts together in addition to the ratio. */
    double slack_ = 50.0;
    /** Part of the allowance in use; the rest covers hosts that count requests
     * of the previous window. */
    double margin_ = 0.7;
  };

  explicit RetryWindow(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Changes the allowance; the counts are kept. */
  auto SetBudget(double aRatio, double aSlack) -> void
  {
    options_.ratio_ = aRatio;
    options_.slack_ = aSlack;
  }
  auto OnRequest(TimePoint aNow) -> void;
  /** \brief Takes one retry from this host's part of the budget, which aHosts
   * hosts share. Returns whether one was left. */
  auto TryTake(std::size_t aHosts, TimePoint aNow) -> bool;

private:
  static constexpr std::uint32_t kSlices = 10;
  struct Slice
  {
    std::int64_t number_ = 0;
    std::uint32_t requests_ = 0;
    std::uint32_t retries_ = 0;
  };

  auto Current(TimePoint aNow) -> Slice&;

  Options options_;
  std::deque<Slice> slices_;
};

} // namespace goldcrestcroft

#pragma once

#include <algorithm>

namespace goldcrestcroft {

/** \brief Limits retries and hedges to a fraction of successes, so that the
 * extra load stays bounded when many requests fail at once. */
class RetryBudget
{
public:
  struct Options
  {
    /** Extra attempts earned per success. */
    double share_ = 0.04;
    /** Maximum number of extra attempts saved up, and the initial number. */
    double burst_ = 10.0;
  };

  explicit RetryBudget(Options aOptions)
    : options_(aOptions)
    , balance_(aOptions.burst_)
  {
  }

  auto OnSuccess() -> void
  {
    balance_ = std::min(options_.burst_, balance_ + options_.share_);
  }

  /** \brief Takes one extra attempt; false if the budget is exhausted. */
  auto TryTake() -> bool
  {
    if (balance_ < 1.0) {
      return false;
    }
    balance_ -= 1.0;
    return true;
  }

  [[nodiscard]] auto Balance() const -> double { return balance_; }

private:
  Options options_;
  double balance_;
};

} // namespace goldcrestcroft

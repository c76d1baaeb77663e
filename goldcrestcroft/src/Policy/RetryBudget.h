#pragma once

#include <algorithm>

namespace goldcrestcroft {

/** \brief Pays for retries and hedges out of a share of successes, so that
 * extra work stays bounded when everything fails at once. */
class RetryBudget
{
public:
  struct Options
  {
    /** Extra attempts earned per success. */
    double share_ = 0.04;
    /** Most extra attempts saved up, and the number at the start. */
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

  /** \brief Takes one extra attempt if there is one. */
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

#pragma once

namespace bench {

/** \brief What one run came to; times in milliseconds. */
struct OnceOutcome
{
  double transactionsPerSecond_ = 0.0;
  double rowsPerSecond_ = 0.0;
  double completedShare_ = 0.0;
  double addedP50_ = 0.0;
  double addedP99_ = 0.0;
};

} // namespace bench

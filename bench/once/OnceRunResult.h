#pragma once

namespace bench {

/** \brief Results of one run; latencies in milliseconds. */
struct OnceRunResult
{
  double transactionsPerSecond_ = 0.0;
  double rowsPerSecond_ = 0.0;
  double completedShare_ = 0.0;
  double addedP50_ = 0.0;
  double addedP99_ = 0.0;
};

} // namespace bench

#pragma once

#include "StragglerDetector.h"

namespace goldcrestcroft {

/** \brief How a Dispatcher decides. */
struct DispatcherOptions
{
  HostId host_;
  ZoneId zone_;
  /** Refuse work whose deadline cannot be met. */
  bool admission_ = true;
  /** Keep work away from stragglers. */
  bool ejection_ = true;
  /** Use idle copies of pools that lend. */
  bool lending_ = true;
  /** Forecasts are stretched by this factor before they meet a deadline. */
  double margin_ = 1.0;
  /** Work beyond its slots that a server may hold, so that it never idles for
   * the length of a message. */
  double overcommit_ = 1.0;
  /** A lending server stays below this part of its slots. */
  double lendable_ = 0.75;
  /** Homes of each affinity value. */
  std::size_t affineServers_ = 2;
  /** Half of what a peer's count says beyond the pool's mean is forgotten in
   * this many mean service times. */
  double forgetAfter_ = 0.7;
  /** How old the shares may be. */
  Duration sharePeriod_ = std::chrono::milliseconds{ 1 };
  StragglerDetector::Options stragglers_;
};

} // namespace goldcrestcroft

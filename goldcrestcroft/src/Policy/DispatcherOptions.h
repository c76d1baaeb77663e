#pragma once

#include "StragglerDetector.h"

namespace goldcrestcroft {

/** \brief Options of a Dispatcher. */
struct DispatcherOptions
{
  HostId host_;
  ZoneId zone_;
  /** Refuse work items whose deadline cannot be met. */
  bool admission_ = true;
  /** Eject stragglers. */
  bool ejection_ = true;
  /** Let a pool use idle servers of the pools that lend to it. */
  bool lending_ = true;
  /** Factor on forecasts before they are compared with a deadline. */
  double margin_ = 1.0;
  /** Work items beyond its slots that a server may hold, so that it does not
   * idle for a message delay between two of them. */
  double overcommit_ = 1.0;
  /** A server accepts a borrowed work item only if all its requests, with this
   * one, fill at most this fraction of its slots. */
  double maxLendingLoad_ = 0.75;
  /** Number of home servers per affinity value. */
  std::size_t affineServers_ = 2;
  /** Half-life of the confidence that a server's peer load differs from the
   * pool's mean, in mean service times. */
  double peerLoadHalfLife_ = 0.7;
  /** Maximum age of the computed shares. */
  Duration sharePeriod_ = std::chrono::milliseconds{ 1 };
  StragglerDetector::Options stragglers_;
};

} // namespace goldcrestcroft

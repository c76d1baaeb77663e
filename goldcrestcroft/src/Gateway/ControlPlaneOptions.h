#pragma once

#include "../../Membership.h"
#include "NodeSettings.h"

namespace goldcrestcroft {

/** \brief Settings and delays of a ControlPlane. */
struct ControlPlaneOptions
{
  NodeSettings settings_;
  Incarnation incarnation_ = 1;
  /** Interval at which the failure detector and held entries are checked;
   * half of the detector's period. */
  Duration tick_ = std::chrono::milliseconds{ 100 };
  /** How long one call for changes of the hosts table waits at the store. */
  Duration hostsWait_ = std::chrono::seconds{ 4 };
  /** Bounds of the delay between attempts of other calls while the store does
   * not answer. */
  Duration minRetryDelay_ = std::chrono::milliseconds{ 100 };
  Duration maxRetryDelay_ = std::chrono::milliseconds{ 1000 };
  /** Up to this many hosts, every host reads the store. In larger fleets only
   * some hosts do, and those whose views are stale. */
  std::size_t smallFleet_ = 12;
  std::size_t readers_ = 4;
  /** Each reader but the first waits this much longer than the reader ahead
   * of it before it asks the store for changes again: the first one informs
   * the others, and changes that come together cost them one call. */
  Duration readerDelay_ = std::chrono::milliseconds{ 200 };
  Duration maxReaderDelay_ = std::chrono::milliseconds{ 800 };
  /** Delay before a host's first call for changes, in which it learns which
   * other hosts read; also the minimum delay before each call for changes of
   * the hosts table, since heartbeats report hosts sooner. */
  Duration initialReadDelay_ = std::chrono::milliseconds{ 500 };
  /** A host that has not met half of the hosts that the store lists relies on
   * those that it has met after this time: the others are dead. */
  Duration settleTimeout_ = std::chrono::milliseconds{ 2000 };
  /** After a pause of the process longer than this, its state may be out of
   * date. */
  Duration maxProcessPause_ = std::chrono::milliseconds{ 1500 };
};

} // namespace goldcrestcroft

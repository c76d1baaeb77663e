#pragma once

#include "MeasureTable.h"

namespace bench {

/** \brief Memory, size and patches of a configuration. */
auto MeasureConfig(MeasureTable& aTable, int aEngines, int aWorkspaces) -> void;
/** \brief Memory and work of one host's view of the others. */
auto MeasureMembership(MeasureTable& aTable, int aHosts) -> void;
/** \brief Hosts that gossip as ControlLoop does; how long a death takes to be
 * known, and how many live hosts are suspected meanwhile. */
auto MeasureDetection(MeasureTable& aTable, int aHosts) -> void;
auto MeasureHeartbeat(MeasureTable& aTable, int aServers, int aDemands,
                      bool aDigest) -> void;
/** \brief One stage through the dispatcher. */
auto MeasureDispatch(MeasureTable& aTable, int aServers, int aWorkspaces)
  -> void;
auto MeasureQuarantine(MeasureTable& aTable, int aEntries) -> void;
auto MeasureRecorder(MeasureTable& aTable) -> void;

} // namespace bench

#pragma once

#include "MeasureTable.h"

namespace bench {

/** \brief Measures the memory, document size and patch time of a configuration.
 */
auto MeasureConfig(MeasureTable& aTable, int aEngines, int aWorkspaces) -> void;
/** \brief Measures the memory and processing time of one host's peer table. */
auto MeasureMembership(MeasureTable& aTable, int aHosts) -> void;
/** \brief Simulates hosts that gossip as ControlLoop does. Measures the time
 * until all other hosts have detected the death of one host, and the shares of
 * live hosts that are wrongly suspected or considered gone meanwhile. */
auto MeasureDetection(MeasureTable& aTable, int aHosts) -> void;
auto MeasureHeartbeat(MeasureTable& aTable, int aServers, int aDemands,
                      bool aDigest) -> void;
/** \brief Measures the dispatcher's memory and its time to process one stage.
 */
auto MeasureDispatch(MeasureTable& aTable, int aServers, int aWorkspaces)
  -> void;
auto MeasureQuarantine(MeasureTable& aTable, int aEntries) -> void;
auto MeasureRecorder(MeasureTable& aTable) -> void;

} // namespace bench

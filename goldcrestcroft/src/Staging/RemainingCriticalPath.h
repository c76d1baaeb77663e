#pragma once

#include "../Routing/RoutingTable.h"
#include "StageGraph.h"

namespace goldcrestcroft {

/** \brief Returns the minimum time that the remaining stages take: the calls on
 * the longest chain of stages that are not underway yet, without any waits. */
auto RemainingCriticalPath(const Route& aRoute, const StageGraph& aGraph,
                           const RoutingTable& aRouting) -> Duration;

} // namespace goldcrestcroft

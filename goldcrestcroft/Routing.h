#pragma once

/** \defgroup Routing
 * Which service a request goes to: routes by host and path, API keys,
 * services, and the engines that serve them. Immutable values. */

#include "Core.h"
#include "src/Routing/ClientLimits.h"
#include "src/Routing/EngineEntry.h"
#include "src/Routing/EngineList.h"
#include "src/Routing/KeyHolder.h"
#include "src/Routing/LimitHistory.h"
#include "src/Routing/Route.h"
#include "src/Routing/RoutingTable.h"
#include "src/Routing/ServiceProfile.h"

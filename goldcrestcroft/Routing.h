#pragma once

/** \defgroup Routing
 * Selects the service of a request: routes by host and path, API keys,
 * services, and the engines that serve them. Routing tables and engine lists
 * are immutable. */

#include "Core.h"
#include "src/Routing/ClientLimits.h"
#include "src/Routing/EngineEntry.h"
#include "src/Routing/EngineList.h"
#include "src/Routing/EvacuationView.h"
#include "src/Routing/KeyHolder.h"
#include "src/Routing/LimitHistory.h"
#include "src/Routing/PromptWork.h"
#include "src/Routing/Route.h"
#include "src/Routing/RoutingTable.h"
#include "src/Routing/ServiceProfile.h"
#include "src/Routing/VersionList.h"

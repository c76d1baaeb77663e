#pragma once

/** \brief Decisions under load: admission control, queue order, fair sharing,
 * routing, retries, quarantine of poison requests, and placement. */

#include "src/Policy/CorrectedLoadRouting.h"
#include "src/Policy/Dispatcher.h"
#include "src/Policy/GossipBuffer.h"
#include "src/Policy/LeastReportedRouting.h"
#include "src/Policy/Placement.h"
#include "src/Policy/Quarantine.h"
#include "src/Policy/RetryBudget.h"
#include "src/Policy/RoundRobinRouting.h"
#include "src/Policy/SoloQueue.h"
#include "src/Policy/TwoChoicesRouting.h"

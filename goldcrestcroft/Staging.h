#pragma once

/** \defgroup Staging
 * The stages of one request as a graph, and the queue that batches pieces from
 * all entry hosts into shared calls. Performs no I/O; the caller passes the
 * time. */

#include "Routing.h"
#include "src/Staging/CallerTimeout.h"
#include "src/Staging/ChainForecast.h"
#include "src/Staging/CoordinatorChoice.h"
#include "src/Staging/ExclusiveUse.h"
#include "src/Staging/FirstEventTime.h"
#include "src/Staging/PieceRate.h"
#include "src/Staging/PieceTicket.h"
#include "src/Staging/RemainingCriticalPath.h"
#include "src/Staging/ResultMemory.h"
#include "src/Staging/ServiceRate.h"
#include "src/Staging/StageAdmission.h"
#include "src/Staging/StageBacklog.h"
#include "src/Staging/StageDue.h"
#include "src/Staging/StageGraph.h"
#include "src/Staging/StageOrder.h"
#include "src/Staging/StagePlan.h"
#include "src/Staging/StageQueue.h"

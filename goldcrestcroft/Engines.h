#pragma once

/** \defgroup Engines
 * Selection of the backend server for a request, by load, cached prompts and
 * health, and the retry budget. Decisions only, on an injected clock. */

#include "Routing.h"
#include "src/Engines/AssignmentShards.h"
#include "src/Engines/AttemptPolicy.h"
#include "src/Engines/CompletedRuns.h"
#include "src/Engines/CrashDetector.h"
#include "src/Engines/DelegatedRuns.h"
#include "src/Engines/EngineAssigner.h"
#include "src/Engines/EngineAvailability.h"
#include "src/Engines/EngineChoice.h"
#include "src/Engines/EngineHealth.h"
#include "src/Engines/EngineLimit.h"
#include "src/Engines/IdleReuseLimit.h"
#include "src/Engines/LatencyEstimate.h"
#include "src/Engines/LimitTable.h"
#include "src/Engines/LostRun.h"
#include "src/Engines/LostRunReports.h"
#include "src/Engines/PermitIssuer.h"
#include "src/Engines/PromptPart.h"
#include "src/Engines/RateLimits.h"
#include "src/Engines/RetryWindow.h"
#include "src/Engines/ServiceOutage.h"
#include "src/Engines/StopAdmission.h"
#include "src/Engines/StopTimes.h"
#include "src/Engines/SuspectCounter.h"
#include "src/Engines/SuspectKind.h"
#include "src/Engines/SuspectNotice.h"
#include "src/Engines/SuspectTable.h"

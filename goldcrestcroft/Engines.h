#pragma once

/** \defgroup Engines
 * Selection of the backend server for a request, by load, cached prompts and
 * health, and the retry budget. Decisions only, on an injected clock. */

#include "Routing.h"
#include "src/Engines/AttemptPolicy.h"
#include "src/Engines/CompletedRuns.h"
#include "src/Engines/EndWatch.h"
#include "src/Engines/EngineChoice.h"
#include "src/Engines/EngineConsent.h"
#include "src/Engines/EngineHealth.h"
#include "src/Engines/EngineLimit.h"
#include "src/Engines/EntrustedRuns.h"
#include "src/Engines/LimitBoard.h"
#include "src/Engines/LostRun.h"
#include "src/Engines/LostRunReports.h"
#include "src/Engines/PermitIssuer.h"
#include "src/Engines/PromptPart.h"
#include "src/Engines/RepeatWindow.h"
#include "src/Engines/RestLimit.h"
#include "src/Engines/StopAdmission.h"
#include "src/Engines/StopTimes.h"
#include "src/Engines/SuspectBoard.h"
#include "src/Engines/SuspectCounter.h"
#include "src/Engines/SuspectNotice.h"
#include "src/Engines/UsualTime.h"

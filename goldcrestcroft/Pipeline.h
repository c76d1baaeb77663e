#pragma once

/** \brief A request's way over the stages of its pipeline. */

#include "src/Pipeline/PipelineRun.h"
#include "src/Pipeline/StageCall.h"

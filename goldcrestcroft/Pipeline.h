#pragma once

/** \brief Runs a request through the stages of its pipeline. */

#include "src/Pipeline/PipelineRun.h"
#include "src/Pipeline/StageCall.h"

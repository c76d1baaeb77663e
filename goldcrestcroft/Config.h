#pragma once

/** \brief Versioned configurations: validation, patches and replication. */

#include "src/Config/ConfigFollower.h"
#include "src/Config/ConfigPatch.h"
#include "src/Config/ConfigVersion.h"
#include "src/Config/Configuration.h"
#include "src/Config/PatchSubmission.h"

#pragma once

/** \brief Numbered configurations: validation, patches and their spread. */

#include "src/Config/ConfigFollower.h"
#include "src/Config/ConfigPatch.h"
#include "src/Config/ConfigVersion.h"
#include "src/Config/Configuration.h"
#include "src/Config/PatchSubmission.h"

#pragma once

/** \brief At-most-once execution of non-idempotent requests. */

#include "src/Once/OnceExecution.h"
#include "src/Once/OnceRow.h"
#include "src/Once/TableBatcher.h"

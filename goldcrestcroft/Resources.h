#pragma once

/** \defgroup Resources
 * Distribution of a host's memory and connections among its clients: who is
 * admitted, and who is evicted first. Decisions only, on an injected clock. */

#include "Core.h"
#include "src/Resources/ConnectionChoice.h"
#include "src/Resources/LogThrottle.h"
#include "src/Resources/MemoryAccount.h"
#include "src/Resources/MemoryBudget.h"

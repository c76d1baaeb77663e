#pragma once

/** \defgroup Gateway
 * The entry host on a platform: sockets to callers, engines, stages and peers,
 * with one thread for control state and one for traffic. */

#include "src/Gateway/EntryGateway.h"
#include "src/Gateway/NodeSettings.h"
#include "src/Gateway/PlatformCodec.h"

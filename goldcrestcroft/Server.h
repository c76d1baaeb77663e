#pragma once

/** \brief The entry host as a process: threads, sockets, metrics, traces. */

#include "src/Observability/Log.h"
#include "src/Server/EntryHost.h"
#include "src/Server/Settings.h"

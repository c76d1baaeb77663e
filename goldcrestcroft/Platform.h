#pragma once

/** \brief Interfaces to the platform: table service and membership list. */

#include "src/Platform/MemberList.h"
#include "src/Platform/MemoryTable.h"
#include "src/Platform/TableCodec.h"
#include "src/Platform/TableService.h"

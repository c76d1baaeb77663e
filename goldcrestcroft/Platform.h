#pragma once

/** \brief What the platform gives: table service, object store, members. */

#include "src/Platform/MemberList.h"
#include "src/Platform/MemoryTable.h"
#include "src/Platform/TableCodec.h"
#include "src/Platform/TableService.h"

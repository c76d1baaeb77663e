#pragma once

/** \brief Messages between entry hosts and their sealed form. */

#include "src/Wire/Message.h"
#include "src/Wire/MessageCodec.h"

#pragma once

/** \brief Messages between entry hosts and their authenticated encoding. */

#include "src/Wire/Message.h"
#include "src/Wire/MessageCodec.h"

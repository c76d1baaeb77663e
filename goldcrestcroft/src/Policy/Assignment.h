#pragma once

#include "WorkItem.h"

namespace goldcrestcroft {

/** \brief A work item and the backend server that it is dispatched to. */
struct Assignment
{
  WorkItem work_;
  ServerId server_;
  /** The server belongs to another pool, whose own work has precedence. */
  bool borrowed_ = false;
};

} // namespace goldcrestcroft

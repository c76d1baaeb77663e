#pragma once

#include "Work.h"

namespace goldcrestcroft {

/** \brief A work and the backend server that shall do it now. */
struct Assignment
{
  Work work_;
  ServerId server_;
  /** The server belongs to another pool and serves its own work first. */
  bool borrowed_ = false;
};

} // namespace goldcrestcroft

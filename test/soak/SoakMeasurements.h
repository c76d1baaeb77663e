#pragma once

#include "CallRecord.h"

#include <sys/types.h>

#include <vector>

namespace soak {

/** \brief The share of the requests from index aFrom that were served; 0 if
 * there are none. Leaves out abandoned ones and those that are to fail. */
auto ShareServed(const std::vector<CallRecord>& aCalls, std::size_t aFrom)
  -> double;

/** \brief Resident memory of a process, in MB; 0 if it cannot be read. */
auto MegabytesOf(pid_t aProcess) -> double;

} // namespace soak

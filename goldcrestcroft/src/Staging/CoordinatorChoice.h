#pragma once

#include "../../Core.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Returns the batch coordinator of a service, or an empty string if
 * there are no hosts.
 *
 * Uses rendezvous hashing: hosts with the same list choose the same coordinator
 * without communicating, and the loss of any other host does not change the
 * choice. While the lists differ there may be two coordinators; the only cost
 * is that calls are less full. */
auto ChooseCoordinator(const std::string& aService,
                       const std::vector<std::string>& aHosts) -> std::string;

} // namespace goldcrestcroft

#pragma once

#include "../../Core.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief The host that collects the pieces of a service.
 *
 * Rendezvous hashing: hosts with the same list name the same one without a
 * word between them, and the loss of another host moves nothing. Two at once,
 * while lists differ, cost emptier calls only. Empty without hosts. */
auto ChooseCollector(const std::string& aService,
                     const std::vector<std::string>& aHosts) -> std::string;

} // namespace goldcrestcroft

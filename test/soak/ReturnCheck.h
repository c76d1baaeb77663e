#pragma once

#include "SoakEvidence.h"

namespace soak {

/** \brief Rule RETURN: returns one line for each host that served no sound
 * request soon after the end of an outage of the platform or of all hosts. */
auto FindLateReturns(const SoakEvidence& aEvidence) -> std::vector<std::string>;

/** \brief Returns a line on the hosts after outages: how many served in time,
 * the longest time that one took, how many other faults excuse, and how many
 * got no request. */
auto SummariseReturns(const SoakEvidence& aEvidence) -> std::string;

} // namespace soak

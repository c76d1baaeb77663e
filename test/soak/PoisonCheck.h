#pragma once

#include "SoakEvidence.h"

namespace soak {

/** \brief Requests that end engines and were sent on although the fleet could
 * know it, one line each. */
auto FindPoisonsSent(const SoakEvidence& aEvidence) -> std::vector<std::string>;

} // namespace soak

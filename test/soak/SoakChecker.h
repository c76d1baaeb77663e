#pragma once

#include "SoakEvidence.h"

namespace soak {

/** \brief Returns one line for each violation of a rule of the platform. */
auto FindViolations(const SoakEvidence& aEvidence) -> std::vector<std::string>;

} // namespace soak

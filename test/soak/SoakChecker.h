#pragma once

#include "SoakEvidence.h"

namespace soak {

/** \brief The promises that are broken, one line each. */
auto FindBrokenPromises(const SoakEvidence& aEvidence)
  -> std::vector<std::string>;

} // namespace soak

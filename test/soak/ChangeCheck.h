#pragma once

#include "SoakEvidence.h"

namespace soak {

/** \brief Returns one line for each host that loses complete requests near a
 * configuration change more often than at other times. */
auto FindLostNearChanges(const SoakEvidence& aEvidence)
  -> std::vector<std::string>;

} // namespace soak

#pragma once

#include "SoakEvidence.h"

namespace soak {

/** \brief Returns one line for each poison request, and for each crashing part
 * of a prompt, that was still sent to engines after the fleet could know that
 * it crashes them. */
auto FindExcessPoisonSends(const SoakEvidence& aEvidence)
  -> std::vector<std::string>;

} // namespace soak

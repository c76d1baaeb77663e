#pragma once

#include "SoakEvidence.h"

namespace soak {

/** \brief Hosts that leave whole requests without an answer beside a change of
 * the configuration, one line each. */
auto FindLostBesideChanges(const SoakEvidence& aEvidence)
  -> std::vector<std::string>;

} // namespace soak

#pragma once

#include "SoakEvidence.h"

namespace soak {

/** \brief Whole requests that ended without a complete answer around a stop of
 * their host in calm, one line each. */
auto FindLostAtStops(const SoakEvidence& aEvidence) -> std::vector<std::string>;

/** \brief How many requests the stops in calm met, how many of them the rules
 * excuse, and which unsafe ones got 502 though sent late. */
auto TellOfStops(const SoakEvidence& aEvidence) -> std::string;

} // namespace soak

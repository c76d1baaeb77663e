#pragma once

#include "SoakEvidence.h"

namespace soak {

/** \brief Returns one line for each complete request that got no complete
 * response around an undisturbed stop of its host. */
auto FindLostAtStops(const SoakEvidence& aEvidence) -> std::vector<std::string>;

/** \brief Returns a line on the undisturbed stops: how many requests overlapped
 * them, how many of the lost ones the rules excuse, and how many unsafe ones
 * that were sent late got 502. */
auto SummariseStops(const SoakEvidence& aEvidence) -> std::string;

} // namespace soak

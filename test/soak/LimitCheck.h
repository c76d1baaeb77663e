#pragma once

#include "SoakEvidence.h"

namespace soak {

/** \brief Rule LIMIT: returns one line for each engine that received more
 * requests than its advertised rate limit allows. */
auto FindExceededLimits(const SoakEvidence& aEvidence)
  -> std::vector<std::string>;

} // namespace soak

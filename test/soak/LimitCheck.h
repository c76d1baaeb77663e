#pragma once

#include "SoakEvidence.h"

namespace soak {

/** \brief LIMIT: engines that got more requests than the limits that they had
 * named allow, one line each. */
auto FindLimitsPassed(const SoakEvidence& aEvidence)
  -> std::vector<std::string>;

} // namespace soak

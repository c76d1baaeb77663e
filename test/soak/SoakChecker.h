#pragma once

#include "FaultInjector.h"

namespace soak {

/** \brief All that was seen from outside in a run. */
struct SoakEvidence
{
  const std::vector<CallRecord>& calls_;
  const Disturbances& harm_;
  const std::vector<DrainRecord>& drains_;
  /** What reached each engine, by its id. */
  std::map<std::string, std::vector<standins::EngineStandin::Arrival>>
    arrivals_;
  std::map<std::string, std::string> serviceOfEngine_;
};

/** \brief The promises that are broken, one line each. */
auto FindBrokenPromises(const SoakEvidence& aEvidence)
  -> std::vector<std::string>;

} // namespace soak

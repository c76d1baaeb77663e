#pragma once

#include "FaultInjector.h"

namespace soak {

/** Bound of the platform's pages for hosts in touch, as deployments set it. */
inline constexpr Duration kContact = std::chrono::milliseconds{ 4000 };
/** A version is in force this long after its writing. */
inline constexpr Duration kConfigInForce = std::chrono::milliseconds{ 3000 };

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
  /** How each engine ended, by its id. */
  std::map<std::string, std::vector<standins::EngineStandin::End>> ends_;
  /** When configurations were written. */
  std::vector<TimePoint> changes_;
  std::vector<LimitRecord> limits_ = {};

  /** \brief Whether the host was in touch all the while. */
  [[nodiscard]] auto InTouch(std::size_t aHost, TimePoint aFrom,
                             TimePoint aTo) const -> bool
  {
    return !harm_.Within({ HostPart(aHost), StopPart(aHost),
                           CallerLinkPart(aHost), StoreLinkPart(aHost),
                           kStorePart },
                         aFrom - kContact, aTo);
  }
};

} // namespace soak

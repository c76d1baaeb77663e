#pragma once

#include "FaultInjector.h"

namespace soak {

/** Bound of the platform's pages for hosts in touch, as deployments set it. */
inline constexpr Duration kContact = std::chrono::milliseconds{ 4000 };
/** A version is in force this long after its writing. */
inline constexpr Duration kConfigInForce = SoakFleet::kNewsWithin;

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
  std::size_t hosts_ = 0;
  std::vector<StopRecord> stops_ = {};

  /** \brief Whether the host was in touch all the while. */
  [[nodiscard]] auto InTouch(std::size_t aHost, TimePoint aFrom,
                             TimePoint aTo) const -> bool
  {
    return !harm_.Within({ HostPart(aHost), StopPart(aHost),
                           CallerLinkPart(aHost), StoreLinkPart(aHost),
                           kStorePart },
                         aFrom - kContact, aTo);
  }
  /** \brief Whether news of the store could reach the host all the while: it
   * was in touch, and the store served it or another one that was. */
  [[nodiscard]] auto CouldKnow(std::size_t aHost, TimePoint aFrom,
                               TimePoint aTo) const -> bool
  {
    const auto served = [&](std::size_t aOne) {
      return InTouch(aOne, aFrom, aTo) &&
             !harm_.Within({ StoreDoorPart(aOne) }, aFrom, aTo);
    };
    auto others = false;
    for (std::size_t host = 0; host < hosts_; ++host) {
      others = others || served(host);
    }
    return served(aHost) || (others && InTouch(aHost, aFrom, aTo));
  }
};

} // namespace soak

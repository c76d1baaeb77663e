#pragma once

#include "FaultInjector.h"

namespace soak {

/** A host is in contact if it had no fault for this long; a bound from the
 * platform's documentation, as the deployments set it. */
inline constexpr Duration kContactTime = std::chrono::milliseconds{ 4000 };
/** A configuration is in force this long after it was written. */
inline constexpr Duration kConfigInForce = SoakFleet::kPropagationTarget;

/** \brief All external observations of a soak run. */
struct SoakEvidence
{
  const std::vector<CallRecord>& calls_;
  const FaultLog& faultLog_;
  const std::vector<DrainRecord>& drains_;
  /** Requests that reached each engine, by engine id. */
  std::map<std::string, std::vector<standins::EngineStandin::Arrival>>
    arrivals_;
  std::map<std::string, std::string> serviceOfEngine_;
  /** Crashes of each engine, by engine id. */
  std::map<std::string, std::vector<standins::EngineStandin::End>> crashes_;
  /** When configurations were written to the store. */
  std::vector<TimePoint> changes_;
  std::vector<LimitRecord> limits_ = {};
  std::size_t hosts_ = 0;
  std::vector<StopRecord> stops_ = {};
  std::vector<OutageRecord> outages_ = {};

  /** \brief Whether the host was in contact for the whole time span. */
  [[nodiscard]] auto WasInContact(std::size_t aHost, TimePoint aFrom,
                                  TimePoint aTo) const -> bool
  {
    return !faultLog_.HasFault({ HostPart(aHost), StopPart(aHost),
                                 CallerLinkPart(aHost), StoreLinkPart(aHost),
                                 kStorePart },
                               aFrom - kContactTime, aTo);
  }
  /** \brief Whether the host could receive changes of the store for the whole
   * time span: it was in contact, and the store served it or another host that
   * was in contact. */
  [[nodiscard]] auto CouldReceiveChanges(std::size_t aHost, TimePoint aFrom,
                                         TimePoint aTo) const -> bool
  {
    const auto served = [&](std::size_t aOne) {
      return WasInContact(aOne, aFrom, aTo) &&
             !faultLog_.HasFault({ StoreDoorPart(aOne) }, aFrom, aTo);
    };
    auto others = false;
    for (std::size_t host = 0; host < hosts_; ++host) {
      others = others || served(host);
    }
    return served(aHost) || (others && WasInContact(aHost, aFrom, aTo));
  }
};

} // namespace soak

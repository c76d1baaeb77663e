#pragma once

#include "../../Core.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief A live entry host. */
struct FleetHost
{
  std::string id_;
  std::string zone_;
  /** Where callers connect; empty while the host is not ready. */
  std::string callerAddress_;
  /** "IP:PORT" for its datagrams; the TCP port of the same number carries
   * state. */
  std::string peerAddress_;
  bool leaving_ = false;
  /** The host does not answer; it keeps its roles until it is known to be
   * gone. */
  bool suspected_ = false;
  /** Capacity, relative to the other hosts. */
  double power_ = 1.0;

  auto operator<=>(const FleetHost&) const = default;
};

/** \brief The entry hosts at one point in time, this one included. */
struct FleetView
{
  std::string self_;
  std::string zone_;
  std::vector<FleetHost> hosts_;
  /** Whether this host has met enough of the others to determine the roles of
   * hosts; false right after its start. */
  bool settled_ = true;
  /** Whether this host's view of the configuration is recent enough for callers
   * to be sent to it. */
  bool current_ = true;

  auto operator<=>(const FleetView&) const = default;

  /** \brief Hosts that may be batch coordinators: those that are not draining
   * and have at least half of the power of the third strongest of them. */
  [[nodiscard]] auto Coordinators() const -> std::vector<std::string>;
  [[nodiscard]] auto Find(const std::string& aId) const -> const FleetHost*;
};

/** \brief Addresses to return to a caller: those of ready hosts of its zone, or
 * of all zones if its own has fewer than aMin. */
auto ChooseAddresses(const FleetView& aView, const std::string& aZone,
                     std::size_t aMin) -> std::vector<std::string>;

} // namespace goldcrestcroft

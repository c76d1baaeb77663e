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
  /** Where callers connect; empty while it is not ready. */
  std::string callerAddress_;
  /** "IP:PORT" of its datagrams; TCP of the same port carries state. */
  std::string peerAddress_;
  bool leaving_ = false;
  /** It does not answer; kept in its offices until that is sure. */
  bool suspected_ = false;
  /** What it can carry, relative to others. */
  double power_ = 1.0;

  auto operator<=>(const FleetHost&) const = default;
};

/** \brief The entry hosts at one moment, this one included. */
struct FleetView
{
  std::string self_;
  std::string zone_;
  std::vector<FleetHost> hosts_;
  /** Whether this host has met enough of the others to say who does what; not
   * in its first moments. */
  bool settled_ = true;

  auto operator<=>(const FleetView&) const = default;

  /** \brief Hosts that may collect pieces: those that stay, with half of the
   * power of the third strongest of them or more. */
  [[nodiscard]] auto Collectors() const -> std::vector<std::string>;
  [[nodiscard]] auto Find(const std::string& aId) const -> const FleetHost*;
};

/** \brief Addresses to name to a caller: those of ready hosts of its zone, or
 * of all zones where its own has fewer than aLeast. */
auto ChooseAddresses(const FleetView& aView, const std::string& aZone,
                     std::size_t aLeast) -> std::vector<std::string>;

} // namespace goldcrestcroft

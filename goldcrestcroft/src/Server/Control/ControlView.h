#pragma once

#include "../../../Config.h"
#include "../../../Membership.h"

#include <set>
#include <vector>

namespace goldcrestcroft {

/** \brief Entry host that callers may use, with its address. */
struct AdvertisedHost
{
  HostId host_;
  std::string address_;
  ZoneId zone_;

  auto operator<=>(const AdvertisedHost&) const = default;
};

/** \brief Latest known incarnation of one entry host, including this one. */
struct PeerIncarnation
{
  HostId host_;
  Incarnation incarnation_ = 0;
  bool gone_ = false;

  auto operator<=>(const PeerIncarnation&) const = default;
};

/** \brief Immutable snapshot of the control state that the control thread
 * publishes to the other threads. */
struct ControlView
{
  ConfigVersionPtr config_ = ConfigVersion::Initial();
  /** Whether the configuration is confirmed, so that work may be admitted. */
  bool confirmed_ = false;
  /** This host is draining for a planned stop. */
  bool leaving_ = false;
  /** All host lists that name this host have expired at the callers. */
  bool forgotten_ = false;
  /** Backend servers that must not be sent new work. */
  std::set<ServerId> closed_;
  std::vector<AdvertisedHost> hosts_;
  std::vector<PeerIncarnation> peers_;

  auto operator==(const ControlView&) const -> bool = default;

  /** \brief Whether this incarnation of the host is known to have ended. */
  [[nodiscard]] auto HasEnded(const HostId& aHost,
                              Incarnation aIncarnation) const -> bool
  {
    for (const auto& peer : peers_) {
      if (peer.host_ == aHost) {
        return aIncarnation < peer.incarnation_ ||
               (aIncarnation == peer.incarnation_ && peer.gone_);
      }
    }
    return false;
  }
};

using ControlViewPtr = std::shared_ptr<const ControlView>;

} // namespace goldcrestcroft

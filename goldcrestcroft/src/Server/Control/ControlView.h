#pragma once

#include "../../../Config.h"
#include "../../../Membership.h"

#include <set>
#include <vector>

namespace goldcrestcroft {

/** \brief One address that callers may use. */
struct AdvertisedHost
{
  HostId host_;
  std::string address_;
  ZoneId zone_;

  auto operator<=>(const AdvertisedHost&) const = default;
};

/** \brief The latest known life of one entry host, this one included. */
struct PeerLife
{
  HostId host_;
  Incarnation incarnation_ = 0;
  bool gone_ = false;

  auto operator<=>(const PeerLife&) const = default;
};

/** \brief What the control thread has made known to the traffic threads: an
 * immutable snapshot. */
struct ControlView
{
  ConfigVersionPtr config_ = ConfigVersion::Initial();
  /** Whether the configuration is confirmed, so that work may be admitted. */
  bool confirmed_ = false;
  /** This host is stopping. */
  bool leaving_ = false;
  /** Callers no longer hold an answer that names this host. */
  bool forgotten_ = false;
  /** Servers that take no new work. */
  std::set<ServerId> closed_;
  std::vector<AdvertisedHost> hosts_;
  std::vector<PeerLife> peers_;

  auto operator==(const ControlView&) const -> bool = default;

  /** \brief Whether that life of the host has surely ended. */
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

#pragma once

#include "PeerRecord.h"
#include "PeerState.h"

#include <tuple>

namespace goldcrestcroft {

/** \brief An update about one host, as the hosts pass it on. */
struct PeerUpdate
{
  PeerRecord record_;
  /** Live, Suspected or Gone; the record states whether the host is leaving. */
  PeerState state_ = PeerState::Live;

  auto operator<=>(const PeerUpdate&) const = default;

  /** \brief Whether this replaces aKnown: a later incarnation, a later
   * heartbeat of the host itself, or for the same heartbeat a state of
   * higher precedence. */
  [[nodiscard]] auto Overrides(const PeerUpdate& aKnown) const -> bool
  {
    const auto precedence = [](const PeerUpdate& aUpdate) {
      return std::tuple(aUpdate.record_.incarnation_,
                        aUpdate.record_.heartbeat_,
                        static_cast<int>(aUpdate.state_));
    };
    return precedence(*this) > precedence(aKnown);
  }
};

} // namespace goldcrestcroft

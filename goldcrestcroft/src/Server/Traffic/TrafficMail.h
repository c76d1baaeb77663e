#pragma once

#include "../Http/IncomingRequest.h"

#include <variant>

namespace goldcrestcroft {

/** \brief The load of a peer was received. */
struct PeerLoadHeard
{
  HostLoad load_;
};

/** \brief A peer was declared gone; its load no longer counts. */
struct PeerLost
{
  HostId host_;
};

/** \brief Quarantine updates were received from a peer. */
struct PoisonHeard
{
  std::vector<PoisonNews> updates_;
};

/** \brief Message to the traffic thread. */
using TrafficMail =
  std::variant<IncomingRequest, PeerLoadHeard, PeerLost, PoisonHeard>;

} // namespace goldcrestcroft

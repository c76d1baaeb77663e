#pragma once

#include "../Http/IncomingRequest.h"

#include <variant>

namespace goldcrestcroft {

/** \brief The load of a peer was received. */
struct PeerLoadReceived
{
  HostLoad load_;
};

/** \brief A peer was declared gone; its load no longer counts. */
struct PeerLost
{
  HostId host_;
};

/** \brief Quarantine updates were received from a peer. */
struct QuarantineUpdatesReceived
{
  std::vector<QuarantineUpdate> updates_;
};

/** \brief Message to the traffic thread. */
using TrafficMessage = std::variant<IncomingRequest, PeerLoadReceived, PeerLost,
                                    QuarantineUpdatesReceived>;

} // namespace goldcrestcroft

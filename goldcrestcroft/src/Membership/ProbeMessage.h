#pragma once

#include "PeerUpdate.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

enum class ProbeKind : std::uint8_t
{
  /** Carries updates only; expects no reply. */
  Gossip,
  /** Requests an Ack of the same number. */
  Ping,
  Ack,
  /** Requests that the receiver pings subject_ and passes its Ack on
   * (indirect probe). */
  PingRequest
};

/** \brief One datagram of the failure detector. */
struct ProbeMessage
{
  PeerRecord sender_;
  ProbeKind kind_ = ProbeKind::Gossip;
  /** Number of the probe at the host that started it. */
  std::uint64_t probe_ = 0;
  /** Address to ping, for PingRequest. */
  std::string subject_;
  /** Number of hosts that the sender takes as running, including itself. */
  std::uint32_t hosts_ = 0;
  std::vector<PeerUpdate> updates_;

  auto operator<=>(const ProbeMessage&) const = default;
};

} // namespace goldcrestcroft

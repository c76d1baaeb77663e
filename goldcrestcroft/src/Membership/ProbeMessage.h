#pragma once

#include "PeerNews.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

enum class ProbeKind : std::uint8_t
{
  /** News only; asks for nothing. */
  News,
  /** Asks for an Ack of the same number. */
  Ping,
  Ack,
  /** Asks the receiver to ping subject_ and to pass its Ack on. */
  AskPing
};

/** \brief One datagram of the failure detector. */
struct ProbeMessage
{
  PeerRecord sender_;
  ProbeKind kind_ = ProbeKind::News;
  /** Number of the probe at the host that asked. */
  std::uint64_t probe_ = 0;
  /** Address to ping, for AskPing. */
  std::string subject_;
  /** Hosts that the sender takes as running, itself included. */
  std::uint32_t hosts_ = 0;
  std::vector<PeerNews> news_;

  auto operator<=>(const ProbeMessage&) const = default;
};

} // namespace goldcrestcroft

#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief What an entry host says of itself, as others pass it on. */
struct PeerRecord
{
  HostId host_;
  Incarnation incarnation_ = 0;
  /** Grows with each heartbeat of this incarnation. */
  std::uint64_t heartbeat_ = 0;
  ZoneId zone_;
  /** Where callers connect, "IP:PORT". */
  std::string callerAddress_;
  /** Where peers send datagrams, "IP:PORT". */
  std::string peerAddress_;
  bool leaving_ = false;

  auto operator<=>(const PeerRecord&) const = default;
};

} // namespace goldcrestcroft

#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief What an entry host says of itself, as others pass it on. */
struct PeerRecord
{
  HostId host_;
  Incarnation incarnation_ = 0;
  /** Grows with each heartbeat of this incarnation, or with each word of the
   * host about itself where a FailureDetector is used. */
  std::uint64_t heartbeat_ = 0;
  ZoneId zone_;
  /** Where callers connect, "IP:PORT". */
  std::string callerAddress_;
  /** Where peers send datagrams, "IP:PORT". */
  std::string peerAddress_;
  /** What the host can carry besides its callers, relative to others: the
   * least of its cores and its link. */
  double power_ = 1.0;
  bool leaving_ = false;

  auto operator<=>(const PeerRecord&) const = default;
};

} // namespace goldcrestcroft

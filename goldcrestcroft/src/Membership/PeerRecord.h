#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief What an entry host reports about itself, as others pass it on. */
struct PeerRecord
{
  HostId host_;
  Incarnation incarnation_ = 0;
  /** Incremented by each heartbeat of this incarnation or, where a
   * FailureDetector is used, by each change that the host reports about
   * itself. */
  std::uint64_t heartbeat_ = 0;
  ZoneId zone_;
  /** Where callers connect, "IP:PORT". */
  std::string callerAddress_;
  /** Where peers send datagrams, "IP:PORT". */
  std::string peerAddress_;
  /** Capacity of the host besides its own callers, relative to other hosts:
   * the minimum of its cores and its link. */
  double power_ = 1.0;
  bool leaving_ = false;

  auto operator<=>(const PeerRecord&) const = default;
};

} // namespace goldcrestcroft

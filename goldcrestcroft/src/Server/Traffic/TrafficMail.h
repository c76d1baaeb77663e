#pragma once

#include "../Http/IncomingRequest.h"

#include <variant>

namespace goldcrestcroft {

/** \brief A peer's load arrived. */
struct PeerLoadHeard
{
  HostLoad load_;
};

/** \brief A peer is gone; its load with it. */
struct PeerLost
{
  HostId host_;
};

/** \brief Verdicts that peers made. */
struct PoisonHeard
{
  std::vector<PoisonNews> news_;
};

using TrafficMail =
  std::variant<IncomingRequest, PeerLoadHeard, PeerLost, PoisonHeard>;

} // namespace goldcrestcroft

#pragma once

#include <goldcrestcroft/Membership.h>
#include <spdlog/fmt/fmt.h>

namespace bench {

/** \brief Returns a peer record for the host with number aIndex. */
inline auto MakePeerRecord(int aIndex) -> goldcrestcroft::PeerRecord
{
  return { .host_ = { fmt::format("host-{:03}", aIndex) },
           .incarnation_ = 1'700'000'000'000'000ULL + aIndex,
           .heartbeat_ = 1,
           .zone_ = { fmt::format("z{}", aIndex % 13) },
           .callerAddress_ = "10.0.0.1:8001",
           .peerAddress_ = "10.0.0.1:9001" };
}

} // namespace bench

#pragma once

#include "../../Membership.h"
#include "CompactLoad.h"

#include <variant>
#include <vector>

namespace goldcrestcroft {

/** \brief The state that a host periodically sends to its peers. */
struct Heartbeat
{
  PeerRecord sender_;
  VersionNumber newestVersion_ = 0;
  CompactLoad load_;
  std::vector<PeerRecord> relayedRecords_;
  std::vector<ServerId> leavingServers_;
  /** Servers reserved for a suspected request; no host sends them new work. */
  std::vector<ServerId> reservedServers_;
  std::vector<QuarantineUpdate> quarantineUpdates_;

  auto operator==(const Heartbeat&) const -> bool = default;
};

/** \brief Asks a peer for the patches after a version. */
struct PatchRequest
{
  VersionNumber after_ = 0;

  auto operator<=>(const PatchRequest&) const = default;
};

/** \brief Patches in ascending order, without gaps. */
struct PatchReply
{
  std::vector<ConfigPatch> patches_;

  auto operator<=>(const PatchReply&) const = default;
};

/** \brief All messages that entry hosts send to each other as datagrams. */
using Message = std::variant<Heartbeat, PatchRequest, PatchReply>;

} // namespace goldcrestcroft

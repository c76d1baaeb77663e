#pragma once

#include "../../Core.h"

#include <vector>

namespace goldcrestcroft {

/** \brief Number of requests of one entry host at one backend server. */
struct ServerCount
{
  ServerId server_;
  /** For the server's own pool. */
  unsigned own_ = 0;
  /** For other pools, which yield to the server's own pool. */
  unsigned borrowed_ = 0;

  auto operator<=>(const ServerCount&) const = default;
};

/** \brief One workspace's demand on one pool through one entry host. */
struct WorkspaceDemand
{
  PoolId pool_;
  WorkspaceId workspace_;
  unsigned inFlight_ = 0;
  unsigned queued_ = 0;

  auto operator<=>(const WorkspaceDemand&) const = default;
};

/** \brief The load that one entry host causes, as reported to its peers. */
struct HostLoad
{
  HostId host_;
  std::vector<ServerCount> servers_;
  std::vector<WorkspaceDemand> demands_;

  auto operator<=>(const HostLoad&) const = default;
};

} // namespace goldcrestcroft

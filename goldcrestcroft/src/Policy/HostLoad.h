#pragma once

#include "../../Core.h"

#include <vector>

namespace goldcrestcroft {

/** \brief Requests that one entry host has at one backend server. */
struct ServerCount
{
  ServerId server_;
  /** For the server's own pool. */
  unsigned own_ = 0;
  /** For borrowers, which give way to the server's own pool. */
  unsigned borrowed_ = 0;

  auto operator<=>(const ServerCount&) const = default;
};

/** \brief What one workspace asks of one pool through one entry host. */
struct WorkspaceDemand
{
  PoolId pool_;
  WorkspaceId workspace_;
  unsigned inFlight_ = 0;
  unsigned queued_ = 0;

  auto operator<=>(const WorkspaceDemand&) const = default;
};

/** \brief One entry host's part of the load, as it tells its peers. */
struct HostLoad
{
  HostId host_;
  std::vector<ServerCount> servers_;
  std::vector<WorkspaceDemand> demands_;

  auto operator<=>(const HostLoad&) const = default;
};

} // namespace goldcrestcroft

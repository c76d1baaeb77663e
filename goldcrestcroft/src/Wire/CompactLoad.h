#pragma once

#include "../../Policy.h"

#include <cstdint>
#include <vector>

namespace goldcrestcroft {

/** \brief A ServerCount with the server's place in the configuration. */
struct CompactServerCount
{
  std::uint16_t server_ = 0;
  std::uint16_t own_ = 0;
  std::uint16_t borrowed_ = 0;

  auto operator<=>(const CompactServerCount&) const = default;
};

/** \brief A WorkspaceDemand with places in the configuration. */
struct CompactDemand
{
  std::uint16_t pool_ = 0;
  std::uint16_t workspace_ = 0;
  std::uint16_t inFlight_ = 0;
  std::uint16_t queued_ = 0;

  auto operator<=>(const CompactDemand&) const = default;
};

/** \brief A HostLoad in few bytes, for readers with the same configuration. */
struct CompactLoad
{
  VersionNumber version_ = 0;
  std::vector<CompactServerCount> servers_;
  std::vector<CompactDemand> demands_;

  auto operator<=>(const CompactLoad&) const = default;
};

/** \brief Leaves out what the configuration does not name, and the smallest
 * entries beyond aMost of a kind. */
auto Compact(const HostLoad& aLoad, const ConfigVersion& aConfig,
             std::size_t aMost) -> CompactLoad;

/** \brief Empty when the load was written under another version. */
auto Expand(const CompactLoad& aLoad, const HostId& aHost,
            const ConfigVersion& aConfig) -> HostLoad;

} // namespace goldcrestcroft

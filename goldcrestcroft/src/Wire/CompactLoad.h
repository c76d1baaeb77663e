#pragma once

#include "../../Policy.h"

#include <cstdint>
#include <vector>

namespace goldcrestcroft {

/** \brief A ServerCount that refers to its server by index in the
 * configuration. */
struct CompactServerCount
{
  std::uint16_t server_ = 0;
  std::uint16_t own_ = 0;
  std::uint16_t borrowed_ = 0;

  auto operator<=>(const CompactServerCount&) const = default;
};

/** \brief A WorkspaceDemand that refers to its pool and its workspace by index
 * in the configuration. */
struct CompactDemand
{
  std::uint16_t pool_ = 0;
  std::uint16_t workspace_ = 0;
  std::uint16_t inFlight_ = 0;
  std::uint16_t queued_ = 0;

  auto operator<=>(const CompactDemand&) const = default;
};

/** \brief Compact form of a HostLoad, for hosts with the same configuration
 * version. */
struct CompactLoad
{
  VersionNumber version_ = 0;
  std::vector<CompactServerCount> servers_;
  std::vector<CompactDemand> demands_;

  auto operator<=>(const CompactLoad&) const = default;
};

/** \brief Converts a load to its compact form.
 *
 * Entries that the configuration does not contain are omitted. At most
 * aMaxEntries servers and aMaxEntries demands are kept, the largest ones. */
auto Compact(const HostLoad& aLoad, const ConfigVersion& aConfig,
             std::size_t aMaxEntries) -> CompactLoad;

/** \brief Restores a load; the result is empty if aLoad is for another
 * configuration version. */
auto Expand(const CompactLoad& aLoad, const HostId& aHost,
            const ConfigVersion& aConfig) -> HostLoad;

} // namespace goldcrestcroft

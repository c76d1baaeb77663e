#pragma once

#include "ConfigurationView.h"

namespace goldcrestcroft {

/** \brief What a peer's heartbeat reported about the state that it has. */
struct PeerVersions
{
  StoreVersion configurationRow_;
  VersionNumber configurationVersion_ = ConfigurationView::kUnreported;
  StoreVersion engineRows_;
  /** Number of hosts that the peer takes as running, including itself. */
  std::uint32_t hosts_ = 0;
  /** Version of the latest change of evacuations. */
  StoreVersion evacuations_;

  auto operator<=>(const PeerVersions&) const = default;
};

} // namespace goldcrestcroft

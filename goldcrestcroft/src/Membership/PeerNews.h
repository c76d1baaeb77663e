#pragma once

#include "PeerRecord.h"
#include "PeerState.h"

#include <tuple>

namespace goldcrestcroft {

/** \brief What the hosts believe of one of them, as it is passed on. */
struct PeerNews
{
  PeerRecord record_;
  /** Live, Suspected or Gone; whether it leaves stands in the record. */
  PeerState state_ = PeerState::Live;

  auto operator<=>(const PeerNews&) const = default;

  /** \brief Whether this replaces aKnown: a later life or a later word of the
   * host itself, or a graver belief about the same word. */
  [[nodiscard]] auto Overrides(const PeerNews& aKnown) const -> bool
  {
    const auto order = [](const PeerNews& aNews) {
      return std::tuple(aNews.record_.incarnation_, aNews.record_.heartbeat_,
                        static_cast<int>(aNews.state_));
    };
    return order(*this) > order(aKnown);
  }
};

} // namespace goldcrestcroft

#pragma once

#include "PeerLink.h"
#include "PermitMessages.h"

#include <memory>
#include <optional>

namespace goldcrestcroft {

/** \brief A permit query to which the owner has not replied yet. */
struct PendingPermitQuery
{
  asio::steady_timer answered_;
  std::optional<Permit> permit_;
};

/** \brief A request for state that a peer has not answered yet. */
struct PendingFetch
{
  std::shared_ptr<PeerLink> link_;
  TimePoint startedAt_;
};

} // namespace goldcrestcroft

#pragma once

#include "../../Core.h"

#include <vector>

namespace goldcrestcroft {

/** \brief A connection whose request is incomplete. */
struct ReadingConnection
{
  /** Address of the client. */
  std::uint64_t client_ = 0;
  /** When the first byte of the request arrived. */
  TimePoint since_{};

  auto operator<=>(const ReadingConnection&) const = default;
};

/** \brief Chooses the connection to close for a new one: the oldest of the
 * client with the most. Returns its index; nullopt if there is none. */
auto ChooseConnectionToClose(const std::vector<ReadingConnection>& aConnections)
  -> std::optional<std::size_t>;

} // namespace goldcrestcroft

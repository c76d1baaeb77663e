#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief Limits of a caller's connection: sizes of a request, and timeouts. */
struct ClientLimits
{
  std::size_t maxHeaderBytes_ = 16'384;
  std::size_t maxBodyBytes_ = 4'194'304;
  Duration headerTimeout_ = std::chrono::seconds{ 3 };
  Duration idleTimeout_ = std::chrono::seconds{ 15 };

  auto operator<=>(const ClientLimits&) const = default;
};

} // namespace goldcrestcroft

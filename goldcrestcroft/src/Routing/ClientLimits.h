#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief What a caller may send, and how long it may take or stay idle. */
struct ClientLimits
{
  std::size_t maxHeaderBytes_ = 16'384;
  std::size_t maxBodyBytes_ = 4'194'304;
  Duration headerTimeout_ = std::chrono::seconds{ 3 };
  Duration idleTimeout_ = std::chrono::seconds{ 15 };

  auto operator<=>(const ClientLimits&) const = default;
};

} // namespace goldcrestcroft

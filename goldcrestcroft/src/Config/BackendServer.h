#pragma once

#include "../../Core.h"

#include <string>

namespace goldcrestcroft {

/** \brief A licensed copy, as described by the configuration. */
struct BackendServer
{
  ServerId id_;
  PoolId pool_;
  ZoneId zone_;
  /** IP address and port, such as "127.0.0.1:7001". */
  std::string address_;
  /** Maximum number of requests that it processes concurrently. */
  unsigned slots_ = 1;
  /** Whether it rejects requests that carry a stale fencing token. */
  bool checksFencing_ = false;

  auto operator<=>(const BackendServer&) const = default;
};

} // namespace goldcrestcroft

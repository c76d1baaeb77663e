#pragma once

#include "../../Core.h"

#include <string>

namespace goldcrestcroft {

/** \brief A licensed copy as the configuration describes it. */
struct BackendServer
{
  ServerId id_;
  PoolId pool_;
  ZoneId zone_;
  /** IP number and port, such as "127.0.0.1:7001". */
  std::string address_;
  /** Requests that it works on at the same time. */
  unsigned slots_ = 1;
  /** Whether it refuses orders that carry an old fencing token. */
  bool checksFencing_ = false;

  auto operator<=>(const BackendServer&) const = default;
};

} // namespace goldcrestcroft

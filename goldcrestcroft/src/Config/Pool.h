#pragma once

#include "BackendServer.h"
#include "StageKind.h"

#include <vector>

namespace goldcrestcroft {

/** \brief Backend servers that do the same work. */
struct Pool
{
  PoolId id_;
  StageKind kind_ = StageKind::Call;
  /** Path of the HTTP call; each stage kind has its own default. */
  std::string path_;
  /** Whether a call may be repeated. False makes each pipeline through this
   * pool non-idempotent. */
  bool idempotent_ = true;
  unsigned licensedCopies_ = 0;
  /** Service time of one call with an idle server, before any is observed. */
  Duration expected_{ 0 };
  /** An exchange without progress for this long is abandoned. */
  Duration silence_{ 0 };
  /** Pools whose queues may use idle copies of this one. */
  std::vector<PoolId> lendsTo_;
  std::vector<BackendServer> servers_;

  auto operator<=>(const Pool&) const = default;
};

} // namespace goldcrestcroft

#pragma once

#include "BackendServer.h"
#include "StageKind.h"

#include <vector>

namespace goldcrestcroft {

/** \brief Interchangeable backend servers. */
struct Pool
{
  PoolId id_;
  StageKind kind_ = StageKind::Call;
  /** Path of the HTTP request; the default depends on the stage kind. */
  std::string path_;
  /** Whether a call may be retried. If false, each pipeline with a stage in
   * this pool is non-idempotent. */
  bool idempotent_ = true;
  unsigned licensedCopies_ = 0;
  /** Service time of one call on an idle server, used until calls have been
   * observed. */
  Duration expected_{ 0 };
  /** Idle timeout: a call without progress for this long is abandoned. */
  Duration silence_{ 0 };
  /** Pools whose queues may use idle licensed copies of this pool. */
  std::vector<PoolId> lendsTo_;
  std::vector<BackendServer> servers_;

  auto operator<=>(const Pool&) const = default;
};

} // namespace goldcrestcroft

#pragma once

#include "../../Config.h"

#include <cstdint>

namespace goldcrestcroft {

/** \brief One stage of one request, queued at the host or in flight at a
 * backend server. */
struct WorkItem
{
  AttemptId id_;
  PoolId pool_;
  WorkspaceId workspace_;
  Priority priority_ = Priority::Normal;
  /** Deadline of the whole request. */
  TimePoint deadline_;
  /** Time to reserve for the stages after this one. */
  Duration reserve_{ 0 };
  /** Stage-specific amount: input length, candidates or tokens. */
  double size_ = 1.0;
  /** Requests with the same value benefit from the same server; 0 for none. */
  std::uint64_t affinity_ = 0;
  /** A server that this work item is not routed to, except as a probe. */
  ServerId avoid_;

  auto operator<=>(const WorkItem&) const = default;
};

} // namespace goldcrestcroft

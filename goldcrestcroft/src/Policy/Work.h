#pragma once

#include "../../Config.h"

#include <cstdint>

namespace goldcrestcroft {

/** \brief One stage of one request, waiting for or held by a backend server. */
struct Work
{
  AttemptId id_;
  PoolId pool_;
  WorkspaceId workspace_;
  Priority priority_ = Priority::Normal;
  /** When the whole request must be answered. */
  TimePoint deadline_;
  /** Time that the later stages need after this one. */
  Duration reserve_{ 0 };
  /** Stage-specific amount: input length, candidates or tokens. */
  double size_ = 1.0;
  /** Requests with the same value profit from the same server; 0 for none. */
  std::uint64_t affinity_ = 0;
  /** A server that this work must not go to, if another is there. */
  ServerId avoid_;

  auto operator<=>(const Work&) const = default;
};

} // namespace goldcrestcroft

#pragma once

#include "../../Core.h"

#include <cstdint>

namespace goldcrestcroft {

/** \brief A run of a request that its engine ended under, without an answer.
 * Times are of the clock of the host that keeps it. */
struct LostRun
{
  /** Fingerprint of the request: the same for each copy of it. */
  std::uint64_t request_ = 0;
  /** Tells this run from all others of the fleet. */
  std::uint64_t run_ = 0;
  TimePoint began_;
  TimePoint ended_;

  auto operator<=>(const LostRun&) const = default;
};

} // namespace goldcrestcroft

#pragma once

#include "../../Core.h"

#include <cstdint>

namespace goldcrestcroft {

/** \brief A run of a request during which the engine crashed, so that it got no
 * complete response. Times are on the clock of the host that stores it. */
struct LostRun
{
  /** Fingerprint of the request, the same for each copy of it. */
  std::uint64_t request_ = 0;
  /** Identifies this run, unique in the fleet. */
  std::uint64_t run_ = 0;
  TimePoint began_;
  TimePoint ended_;

  auto operator<=>(const LostRun&) const = default;
};

} // namespace goldcrestcroft

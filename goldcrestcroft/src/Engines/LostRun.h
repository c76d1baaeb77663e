#pragma once

#include "../../Core.h"

#include <cstdint>

namespace goldcrestcroft {

/** \brief A run during which the engine crashed, so that it got no complete
 * response, as evidence against one suspect: the request, or a part of its
 * prompt. Times are on the clock of the host that stores it. */
struct LostRun
{
  /** Fingerprint of the suspect, the same for each copy of it. */
  std::uint64_t request_ = 0;
  /** Identifies this run, unique in the fleet. */
  std::uint64_t run_ = 0;
  TimePoint began_;
  TimePoint ended_;
  /** Fingerprint of the last part that the prompt may share, if the suspect is
   * a part before it; 0 otherwise. If a part is always lost together with it,
   * only one of them has to be quarantined. */
  std::uint64_t lastPart_ = 0;
  /** Whether the engine had begun to respond, which is when parts of prompts
   * crash engines. */
  bool responding_ = false;

  auto operator<=>(const LostRun&) const = default;
};

} // namespace goldcrestcroft

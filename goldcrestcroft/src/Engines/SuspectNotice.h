#pragma once

#include "../../Core.h"

#include <cstdint>
#include <string>

namespace goldcrestcroft {

/** \brief How strongly a request is suspected of crashing the engines that run
 * it. */
enum class SuspectLevel : std::uint8_t
{
  Cleared,
  /** Hosts report when a copy runs to completion, which clears the request. */
  Suspected,
  /** The request is sent to no engine. */
  Quarantined
};

/** \brief The level as a stable lower-case word, for logs. */
auto ToString(SuspectLevel aLevel) -> std::string;

/** \brief Notices with a higher generation are rejected. No request is cleared
 * so often, and a generation without a successor could never be cleared. */
inline constexpr std::uint32_t kMaxGenerations = 1'000'000;

/** \brief The state of a suspect, as disseminated to all hosts. What holds for
 * a request holds for a part of a prompt, whose copies are the requests with
 * it.
 *
 * A new generation begins when a copy of the request runs to completion. Of two
 * notices of a request the one with the higher generation wins, then the one
 * with the higher level, then the one with the higher count. All hosts thus
 * reach the same state, in whatever order notices arrive. */
struct SuspectNotice
{
  /** Fingerprint of the suspect. */
  std::uint64_t request_ = 0;
  std::uint32_t generation_ = 0;
  SuspectLevel level_ = SuspectLevel::Cleared;
  /** Independent crashes counted so far for a suspected request. Hosts that
   * become its owners continue from this count if the previous owners are
   * gone. */
  std::uint32_t count_ = 0;
  /** Time until the notice expires; relative, since hosts share no clock. */
  Duration left_{};
  /** Time since the first counted crash, for parts of prompts: a part may begin
   * to crash engines after it was sound, so only later runs clear it. */
  Duration evidenceAge_{};

  auto operator<=>(const SuspectNotice&) const = default;
};

} // namespace goldcrestcroft

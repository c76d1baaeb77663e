#pragma once

#include "../../Core.h"

#include <cstdint>
#include <string>

namespace goldcrestcroft {

/** \brief How strongly a request is suspected of ending the engines that run
 * it. */
enum class SuspectLevel : std::uint8_t
{
  Cleared,
  /** Hosts report when a copy runs to its end, which clears it. */
  Suspected,
  /** Sent to no engine. */
  HeldBack
};

/** \brief The level as a stable lower-case word, for logs. */
auto ToString(SuspectLevel aLevel) -> std::string;

/** \brief Generations beyond this are not believed: no request is cleared so
 * often, and a number without a successor could never be cleared. */
inline constexpr std::uint32_t kMostGenerations = 1'000'000;

/** \brief What all hosts are told of a suspected request.
 *
 * A request that ran to its end begins a new generation. Of two notices of a
 * request the one of the higher generation holds, then the one of the higher
 * level, then the one of the higher count, so that all hosts come to the same
 * verdict in whatever order notices reach them. */
struct SuspectNotice
{
  /** Fingerprint of the request. */
  std::uint64_t request_ = 0;
  std::uint32_t generation_ = 0;
  SuspectLevel level_ = SuspectLevel::Cleared;
  /** Coincidences counted so far of a request that is suspected, for those
   * that count on when the hosts that counted are gone. */
  std::uint32_t count_ = 0;
  /** Time until it is forgotten; relative, since hosts share no clock. */
  Duration left_{};

  auto operator<=>(const SuspectNotice&) const = default;
};

} // namespace goldcrestcroft

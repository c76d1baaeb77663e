#pragma once

#include <string>

namespace goldcrestcroft {

/** \brief The outcome of a request, as reported to the caller.
 *
 * NotRun is reported only if no byte of any stage was sent to a backend server.
 * Unknown is reported if a non-idempotent request may or may not have run. */
enum class Outcome
{
  Completed,
  NotRun,
  Failed,
  Unknown
};

inline auto ToString(Outcome aOutcome) -> std::string
{
  switch (aOutcome) {
    case Outcome::Completed:
      return "completed";
    case Outcome::NotRun:
      return "not_run";
    case Outcome::Failed:
      return "failed";
    case Outcome::Unknown:
      break;
  }
  return "unknown";
}

} // namespace goldcrestcroft

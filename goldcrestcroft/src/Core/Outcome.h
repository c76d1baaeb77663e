#pragma once

#include <string>

namespace goldcrestcroft {

/** \brief How a request ended, as the caller is told.
 *
 * NotRun is said only when no byte of any stage was handed to a backend server.
 * Unknown is said when a non-idempotent request may or may not have run. */
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

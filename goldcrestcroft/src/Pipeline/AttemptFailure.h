#pragma once

#include <string_view>

namespace goldcrestcroft {

/** \brief Why an attempt of a stage failed. */
enum class AttemptFailure
{
  /** The connection was refused and no byte was sent. */
  NotConnected,
  /** The connection broke before the response was complete. */
  Broken,
  /** The server crashed during the attempt. */
  Crashed,
  /** No data was transferred for longer than the pool's silence limit. */
  Silent,
  /** The response was truncated, malformed or belonged to another attempt. */
  InvalidResponse,
  /** The server declined the work before it started. */
  Declined,
  /** The server reported an error. */
  ServerError
};

inline auto ToString(AttemptFailure aFailure) -> std::string_view
{
  switch (aFailure) {
    case AttemptFailure::NotConnected:
      return "not_connected";
    case AttemptFailure::Broken:
      return "broken";
    case AttemptFailure::Crashed:
      return "crashed";
    case AttemptFailure::Silent:
      return "silent";
    case AttemptFailure::InvalidResponse:
      return "not_whole";
    case AttemptFailure::Declined:
      return "declined";
    case AttemptFailure::ServerError:
      break;
  }
  return "server_error";
}

/** \brief Whether it is certain that the server did not start the work. */
inline auto DefinitelyNotStarted(AttemptFailure aFailure) -> bool
{
  return aFailure == AttemptFailure::NotConnected ||
         aFailure == AttemptFailure::Declined;
}

} // namespace goldcrestcroft

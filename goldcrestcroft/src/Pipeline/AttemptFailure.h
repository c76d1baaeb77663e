#pragma once

#include <string_view>

namespace goldcrestcroft {

/** \brief Why an attempt of a stage brought no answer. */
enum class AttemptFailure
{
  /** The connection was refused: no byte was handed over. */
  NotConnected,
  /** The connection broke before the answer was whole. */
  Broken,
  /** The server crashed while it had the work. */
  Crashed,
  /** Nothing moved for longer than the pool's silence bound. */
  Silent,
  /** The answer was short, malformed or another attempt's. */
  NotWhole,
  /** The server declined before doing anything. */
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
    case AttemptFailure::NotWhole:
      return "not_whole";
    case AttemptFailure::Declined:
      return "declined";
    case AttemptFailure::ServerError:
      break;
  }
  return "server_error";
}

/** \brief Whether the server surely did not begin the work. */
inline auto SurelyNotBegun(AttemptFailure aFailure) -> bool
{
  return aFailure == AttemptFailure::NotConnected ||
         aFailure == AttemptFailure::Declined;
}

} // namespace goldcrestcroft

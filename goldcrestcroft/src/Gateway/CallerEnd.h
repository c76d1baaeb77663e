#pragma once

#include <string_view>

namespace goldcrestcroft {

/** \brief Why a caller's connection was closed. */
enum class CallerEnd
{
  /** The caller closed it, or it broke, with no request in progress. */
  CallerClosed,
  /** The same during a request. */
  CallerLeft,
  /** The caller's last request asked for it. */
  CallerAsked,
  /** The last response announced the close. */
  Announced,
  TimedOut,
  /** This host is stopping, and no request was in progress. */
  HostStops,
  /** It was idle and was evicted for a new caller. */
  MadeRoom,
  /** An unreadable request was answered with an error. */
  Rejected,
  /** The response could not be written. */
  ResponseUnwritten,
  /** The response had started and cannot be completed. */
  AnswerBroken,
  /** An unexpected failure. */
  Failed
};

constexpr auto ToString(CallerEnd aReason) -> std::string_view
{
  switch (aReason) {
    case CallerEnd::CallerClosed:
      return "caller_closed";
    case CallerEnd::CallerLeft:
      return "caller_left";
    case CallerEnd::CallerAsked:
      return "caller_asked";
    case CallerEnd::Announced:
      return "announced";
    case CallerEnd::TimedOut:
      return "timed_out";
    case CallerEnd::HostStops:
      return "host_stops";
    case CallerEnd::MadeRoom:
      return "made_room";
    case CallerEnd::Rejected:
      return "rejected";
    case CallerEnd::ResponseUnwritten:
      return "answer_unwritten";
    case CallerEnd::AnswerBroken:
      return "answer_broken";
    case CallerEnd::Failed:
      break;
  }
  return "failed";
}

/** \brief Whether this host closed the connection without announcing it to the
 * caller. */
constexpr auto IsUnannounced(CallerEnd aReason) -> bool
{
  return aReason == CallerEnd::HostStops || aReason == CallerEnd::MadeRoom ||
         aReason == CallerEnd::AnswerBroken || aReason == CallerEnd::Failed;
}

} // namespace goldcrestcroft

#pragma once

#include <string_view>

namespace goldcrestcroft {

/** \brief Why a caller's connection was closed. */
enum class CallerCloseReason
{
  /** The caller closed it, or it broke, with no request in progress. */
  CallerClosed,
  /** The same during a request. */
  CallerDisconnected,
  /** The caller's last request asked for it. */
  CallerAsked,
  /** The last response announced the close. */
  Announced,
  TimedOut,
  /** This host is stopping, and no request was in progress. */
  HostStops,
  /** It was idle and was evicted for a new caller. */
  EvictedIdle,
  /** Its request was incomplete, and it was evicted for a new caller. */
  EvictedIncomplete,
  /** An unreadable request was answered with an error. */
  Rejected,
  /** The response could not be written. */
  ResponseUnwritten,
  /** The response had started and cannot be completed. */
  ResponseBroken,
  /** An unexpected failure. */
  Failed
};

constexpr auto ToString(CallerCloseReason aReason) -> std::string_view
{
  switch (aReason) {
    case CallerCloseReason::CallerClosed:
      return "caller_closed";
    case CallerCloseReason::CallerDisconnected:
      return "caller_left";
    case CallerCloseReason::CallerAsked:
      return "caller_asked";
    case CallerCloseReason::Announced:
      return "announced";
    case CallerCloseReason::TimedOut:
      return "timed_out";
    case CallerCloseReason::HostStops:
      return "host_stops";
    case CallerCloseReason::EvictedIdle:
      return "made_room";
    case CallerCloseReason::EvictedIncomplete:
      return "evicted_incomplete";
    case CallerCloseReason::Rejected:
      return "rejected";
    case CallerCloseReason::ResponseUnwritten:
      return "answer_unwritten";
    case CallerCloseReason::ResponseBroken:
      return "answer_broken";
    case CallerCloseReason::Failed:
      break;
  }
  return "failed";
}

/** \brief Whether this host closed the connection without announcing it to the
 * caller. */
constexpr auto IsUnannounced(CallerCloseReason aReason) -> bool
{
  return aReason == CallerCloseReason::HostStops ||
         aReason == CallerCloseReason::EvictedIncomplete ||
         aReason == CallerCloseReason::EvictedIdle ||
         aReason == CallerCloseReason::ResponseBroken ||
         aReason == CallerCloseReason::Failed;
}

} // namespace goldcrestcroft

#pragma once

#include <string_view>

namespace goldcrestcroft {

/** \brief Why a caller's connection ended. */
enum class CallerEnd
{
  /** The caller closed it, or it broke, with no request under way. */
  CallerClosed,
  /** The same under a request. */
  CallerLeft,
  /** The caller's last request asked for it. */
  CallerAsked,
  /** The last answer said that it ends. */
  Announced,
  TimedOut,
  /** This host stops, and no request was under way. */
  HostStops,
  /** It was idle, and a new caller needed its place. */
  MadeRoom,
  /** A request that cannot be read has its answer. */
  Rejected,
  /** The answer could not be written. */
  AnswerUnwritten,
  /** The answer had begun and cannot be finished. */
  AnswerBroken,
  /** An error that nothing here is made for. */
  Failed
};

constexpr auto ToString(CallerEnd aEnd) -> std::string_view
{
  switch (aEnd) {
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
    case CallerEnd::AnswerUnwritten:
      return "answer_unwritten";
    case CallerEnd::AnswerBroken:
      return "answer_broken";
    case CallerEnd::Failed:
      break;
  }
  return "failed";
}

/** \brief Whether this host ended it without having said so on it. */
constexpr auto IsUnannounced(CallerEnd aEnd) -> bool
{
  return aEnd == CallerEnd::HostStops || aEnd == CallerEnd::MadeRoom ||
         aEnd == CallerEnd::AnswerBroken || aEnd == CallerEnd::Failed;
}

} // namespace goldcrestcroft

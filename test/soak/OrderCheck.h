#pragma once

#include <compare>
#include <string>
#include <vector>

namespace soak {

/** \brief A stream as its client received it over all its tries. */
struct FollowedStream
{
  struct Event
  {
    int id_ = 0;
    std::string version_;

    auto operator<=>(const Event&) const = default;
  };

  /** The attempt that brought the first event. */
  std::string attempt_;
  std::vector<Event> events_;
  /** Whether a response of it ended as complete. */
  bool ended_ = false;
  /** Number of responses that brought events. */
  std::size_t parts_ = 0;
  /** The id of its last event. */
  int length_ = 0;

  auto operator<=>(const FollowedStream&) const = default;
};

/** \brief Returns a line for each stream that lacks an event, has one twice or
 * out of order, has events of two software versions, or ended as complete
 * before its last event. */
auto FindOrderViolations(const std::vector<FollowedStream>& aStreams)
  -> std::vector<std::string>;

/** \brief How many streams were begun, taken up and completed. */
auto SummariseStreams(const std::vector<FollowedStream>& aStreams)
  -> std::string;

} // namespace soak

#include "OrderCheck.h"

#include <algorithm>
#include <optional>

namespace soak {

namespace {

auto FindViolation(const FollowedStream& aStream) -> std::optional<std::string>
{
  auto next = 1;
  for (const auto& event : aStream.events_) {
    if (event.id_ != next) {
      return "event " + std::to_string(event.id_) + " came instead of event " +
             std::to_string(next);
    }
    if (event.version_ != aStream.events_.front().version_) {
      return "it began at version " + aStream.events_.front().version_ +
             " and went on at version " + event.version_ + " with event " +
             std::to_string(event.id_);
    }
    ++next;
  }
  if (aStream.ended_ && next <= aStream.length_) {
    return "it ended as complete before event " + std::to_string(next);
  }
  return std::nullopt;
}

} // namespace

auto FindOrderViolations(const std::vector<FollowedStream>& aStreams)
  -> std::vector<std::string>
{
  std::vector<std::string> lines;
  for (const auto& stream : aStreams) {
    if (const auto violation = FindViolation(stream)) {
      lines.push_back("order: stream " + stream.attempt_ + ": " + *violation);
    }
  }
  return lines;
}

auto SummariseStreams(const std::vector<FollowedStream>& aStreams)
  -> std::string
{
  const auto count = [&](auto aCondition) {
    return std::to_string(
      std::count_if(aStreams.begin(), aStreams.end(), aCondition));
  };
  return count([](const auto& aStream) { return !aStream.events_.empty(); }) +
         " streams begun; " +
         count([](const auto& aStream) { return aStream.parts_ > 1; }) +
         " taken up; " +
         count([](const auto& aStream) { return aStream.ended_; }) +
         " complete";
}

} // namespace soak

#include "EngineStandin.h"

namespace standins {

auto EngineStandin::PlanUnframed(const ResponsePlan& aReaction) const
  -> UnframedBody
{
  const std::size_t number = receivedCount_;
  if (number % 2 == 0) {
    return {};
  }
  const auto isStream = !aReaction.chunks_.empty();
  auto size = isStream ? 0 : aReaction.body_.size();
  std::set<std::size_t> eventEnds;
  for (const auto& event : aReaction.chunks_) {
    size += event.size();
    eventEnds.insert(size);
  }
  constexpr std::size_t kStep = 7919;
  const auto beforeFirst = number % 8 == 3;
  const auto bytes = size == 0 || beforeFirst ? 0 : number * kStep % size;
  // An orderly end of a plain body, or between two events, is a sound end.
  const auto resets = !isStream || eventEnds.contains(bytes) || number % 4 == 1;
  return { .bytes_ = bytes, .end_ = resets ? RawEnd::Resets : RawEnd::Closes };
}

} // namespace standins

#include "ConnectionChoice.h"

#include <map>

namespace goldcrestcroft {

auto ChooseConnectionToClose(const std::vector<ReadingConnection>& aConnections)
  -> std::optional<std::size_t>
{
  std::map<std::uint64_t, std::size_t> counts;
  for (const auto& connection : aConnections) {
    ++counts[connection.client_];
  }
  std::optional<std::size_t> chosen;
  for (std::size_t i = 0; i < aConnections.size(); ++i) {
    const auto& candidate = aConnections[i];
    if (!chosen) {
      chosen = i;
      continue;
    }
    const auto& best = aConnections[*chosen];
    const auto count = counts[candidate.client_];
    const auto bestCount = counts[best.client_];
    if (count > bestCount ||
        (count == bestCount && candidate.since_ < best.since_)) {
      chosen = i;
    }
  }
  return chosen;
}

} // namespace goldcrestcroft

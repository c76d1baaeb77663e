#include "RemainingCriticalPath.h"

#include <algorithm>

namespace goldcrestcroft {

auto RemainingCriticalPath(const Route& aRoute, const StageGraph& aGraph,
                           const RoutingTable& aRouting) -> Duration
{
  std::vector<Duration> ends(aRoute.stages_.size());
  Duration longest{};
  for (std::size_t i = 0; i < aRoute.stages_.size(); ++i) {
    const auto& stage = aRoute.stages_[i];
    for (const auto before : stage.after_) {
      if (before < i) {
        ends[i] = std::max(ends[i], ends[before]);
      }
    }
    const auto* service = aRouting.FindService(stage.service_);
    if (!aGraph.IsUnderway(i) && service != nullptr && service->stage_) {
      // The pieces of a stage may run in parallel calls.
      ends[i] += service->stage_->callTime_ + service->stage_->pieceTime_;
    }
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

} // namespace goldcrestcroft

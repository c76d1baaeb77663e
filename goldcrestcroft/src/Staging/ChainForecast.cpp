#include "ChainForecast.h"

#include <algorithm>

namespace goldcrestcroft {

auto ForecastChain(const Route& aRoute,
                   const std::vector<std::uint32_t>& aPieces,
                   const RoutingTable& aRouting,
                   const std::function<Duration(const std::string&)>& aWaitAt)
  -> ChainForecast
{
  std::vector<ChainForecast> ends(aRoute.stages_.size());
  ChainForecast longest;
  for (std::size_t i = 0; i < aRoute.stages_.size(); ++i) {
    const auto& stage = aRoute.stages_[i];
    ChainForecast before;
    for (const auto index : stage.after_) {
      if (index < i && ends[index].total_ > before.total_) {
        before = ends[index];
      }
    }
    const auto pieces = i < aPieces.size() ? aPieces[i] : 1;
    const auto* service = aRouting.FindService(stage.service_);
    ends[i] = before;
    if (pieces > 0 && service != nullptr && service->stage_) {
      // The queue ahead shrinks while the stages before are made.
      const auto wait =
        std::max(aWaitAt(stage.service_) - ends[i].total_, Duration{});
      ends[i].waiting_ += wait;
      ends[i].total_ +=
        wait + service->stage_->callTime_ +
        service->stage_->pieceTime_ * static_cast<Duration::rep>(pieces);
    }
    if (ends[i].total_ > longest.total_) {
      longest = ends[i];
    }
  }
  return longest;
}

} // namespace goldcrestcroft

#include "ChainForecast.h"

#include <algorithm>

namespace goldcrestcroft {

auto ForecastChain(const Route& aRoute,
                   const std::vector<std::uint32_t>& aPieces,
                   const RoutingTable& aRouting,
                   const std::function<Duration(const std::string&)>& aWaitAt)
  -> ChainForecast
{
  std::vector<ChainForecast> forecasts(aRoute.stages_.size());
  ChainForecast longest;
  for (std::size_t i = 0; i < aRoute.stages_.size(); ++i) {
    const auto& stage = aRoute.stages_[i];
    ChainForecast slowestInput;
    for (const auto index : stage.after_) {
      if (index < i && forecasts[index].total_ > slowestInput.total_) {
        slowestInput = forecasts[index];
      }
    }
    const auto pieces = i < aPieces.size() ? aPieces[i] : 1;
    const auto* service = aRouting.FindService(stage.service_);
    forecasts[i] = slowestInput;
    if (pieces > 0 && service != nullptr && service->stage_) {
      // The queue ahead drains while the preceding stages run.
      const auto wait =
        std::max(aWaitAt(stage.service_) - forecasts[i].total_, Duration{});
      forecasts[i].waiting_ += wait;
      forecasts[i].total_ +=
        wait + service->stage_->callTime_ +
        service->stage_->pieceTime_ * static_cast<Duration::rep>(pieces);
    }
    if (forecasts[i].total_ > longest.total_) {
      longest = forecasts[i];
    }
  }
  return longest;
}

} // namespace goldcrestcroft

#include "StageDesk.h"

namespace goldcrestcroft {

auto StageDesk::Settle(Service& aService, Engine& aEngine, const Call& aCall,
                       const std::vector<PieceResult>& aResults) -> void
{
  const auto now = clock_.Now();
  std::map<std::uint64_t, std::vector<PieceResult>> byOrder;
  std::vector<std::string> orphans;
  auto noRoom = false;
  for (std::size_t i = 0; i < aCall.tickets_.size(); ++i) {
    const auto& ticket = aCall.tickets_[i];
    auto result = i < aResults.size() ? aResults[i]
                                      : PieceResult{ .end_ = PieceEnd::Failed };
    result.piece_ = ticket.piece_;
    const auto listener = listeners_.find(ticket.order_);
    if (result.end_ == PieceEnd::Made) {
      aService.rate_.OnMade(now);
      aEngine.room_.Hold(result.handle_, aCall.bytes_[i], now);
      if (listener == listeners_.end()) {
        orphans.push_back(result.handle_);
        continue;
      }
    } else {
      aEngine.room_.Release(aCall.bytes_[i]);
    }
    if (listener == listeners_.end()) {
      continue;
    }
    if (result.end_ == PieceEnd::EngineFull) {
      aService.queue_.Return(ticket);
      continue;
    }
    if (result.end_ == PieceEnd::NoRoom) {
      aEngine.pausedUntil_ = now + options_.roomPause_;
      noRoom = true;
      aService.queue_.Return(ticket);
      continue;
    }
    const auto again =
      result.end_ == PieceEnd::Failed &&
      ++listener->second.tries_[ticket.piece_] < options_.mostTries_;
    if (again) {
      aService.queue_.Return(ticket);
    } else {
      byOrder[ticket.order_].push_back(std::move(result));
    }
  }
  if (noRoom) {
    aEngine.room_.AssumeFull(now);
  }
  if (!orphans.empty()) {
    Release(aService.name_, orphans);
  }
  for (auto& [order, results] : byOrder) {
    Report(order, std::move(results));
  }
}

} // namespace goldcrestcroft

#include "StageBatcher.h"

namespace goldcrestcroft {

auto StageBatcher::Settle(Service& aService, Engine& aEngine, const Call& aCall,
                          const std::vector<PieceResult>& aResults) -> void
{
  const auto now = clock_.Now();
  std::map<std::uint64_t, std::vector<PieceResult>> byOrder;
  std::vector<std::string> orphans;
  auto memoryFull = false;
  for (std::size_t i = 0; i < aCall.tickets_.size(); ++i) {
    const auto& ticket = aCall.tickets_[i];
    auto result = i < aResults.size()
                    ? aResults[i]
                    : PieceResult{ .end_ = PieceOutcome::Failed };
    result.piece_ = ticket.piece_;
    const auto placed = placedOrders_.find(ticket.order_);
    if (result.end_ == PieceOutcome::Made) {
      aService.rate_.OnProduced(now);
      aEngine.resultMemory_.Hold(result.handle_, aCall.bytes_[i], now);
      if (placed == placedOrders_.end()) {
        orphans.push_back(result.handle_);
        continue;
      }
    } else {
      aEngine.resultMemory_.Release(aCall.bytes_[i]);
    }
    if (placed == placedOrders_.end()) {
      continue;
    }
    if (result.end_ == PieceOutcome::EngineFull) {
      aService.queue_.Return(ticket);
      continue;
    }
    if (result.end_ == PieceOutcome::NoResultMemory) {
      aEngine.pausedUntil_ = now + options_.memoryPause_;
      memoryFull = true;
      aService.queue_.Return(ticket);
      continue;
    }
    const auto retry =
      result.end_ == PieceOutcome::Failed &&
      ++placed->second.tries_[ticket.piece_] < options_.maxTries_;
    if (retry) {
      aService.queue_.Return(ticket);
    } else {
      byOrder[ticket.order_].push_back(std::move(result));
    }
  }
  if (memoryFull) {
    aEngine.resultMemory_.AssumeFull(now);
  }
  if (!orphans.empty()) {
    Release(aService.name_, orphans);
  }
  for (auto& [order, results] : byOrder) {
    Report(order, std::move(results));
  }
}

} // namespace goldcrestcroft

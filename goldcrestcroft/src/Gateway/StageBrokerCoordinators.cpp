#include "../Observability/Log.h"
#include "StageBroker.h"

#include <utility>

namespace goldcrestcroft {

namespace {

/** A coordinator that could not be reached is skipped for this long; by then
 * the fleet knows whether it is alive. */
constexpr auto kUnreachableSkip = std::chrono::milliseconds{ 2500 };
/** A host that cannot reach this many others is cut off itself. */
constexpr std::size_t kMaxUnreachable = 3;

} // namespace

auto StageBroker::CoordinatorOf(const std::string& aService)
  -> const std::string&
{
  const auto [found, isNew] = coordinators_.try_emplace(aService);
  if (isNew && unreachable_.size() < kMaxUnreachable) {
    auto hosts = fleet_->Coordinators();
    std::erase_if(hosts, [this](const auto& aHost) {
      return unreachable_.contains(aHost);
    });
    found->second = ChooseCoordinator(aService, hosts);
  }
  if (found->second.empty()) {
    found->second = fleet_->self_;
  }
  return found->second;
}

auto StageBroker::SkipUnreachable(const std::string& aHost) -> void
{
  unreachable_[aHost] = clock_.Now() + kUnreachableSkip;
  OnCoordinatorsChanged(std::exchange(coordinators_, {}));
}

auto StageBroker::ExpireUnreachable() -> void
{
  const auto now = clock_.Now();
  const auto expired = std::erase_if(
    unreachable_, [&](const auto& aItem) { return aItem.second <= now; });
  if (expired > 0) {
    OnCoordinatorsChanged(std::exchange(coordinators_, {}));
  }
}

auto StageBroker::OnResults(std::uint64_t aNumber,
                            std::vector<PieceResult> aResults) -> void
{
  const auto found = outstanding_.find(aNumber);
  if (found == outstanding_.end()) {
    return;
  }
  auto& outstanding = found->second;
  std::vector<std::uint32_t> moved;
  for (const auto& result : aResults) {
    if (result.end_ == PieceOutcome::Moved) {
      moved.push_back(result.piece_);
    }
    if (result.end_ == PieceOutcome::Moved ||
        result.end_ == PieceOutcome::Made) {
      std::erase(outstanding.order_.pieces_, result.piece_);
    }
  }
  if (!moved.empty()) {
    // This may run while coordinators are being compared, so defer the order.
    asio::post(context_, [this, aNumber, moved = std::move(moved)] {
      PlaceMovedPieces(aNumber, moved);
    });
    return;
  }
  const auto onResults = outstanding.onResults_;
  onResults(std::move(aResults));
}

auto StageBroker::PlaceMovedPieces(std::uint64_t aNumber,
                                   const std::vector<std::uint32_t>& aPieces)
  -> void
{
  const auto found = outstanding_.find(aNumber);
  if (found == outstanding_.end()) {
    return;
  }
  // The other pieces of the order are in calls of the previous coordinator,
  // which reports their results.
  const auto number = nextNumber_++;
  found->second.movedOrders_.push_back(number);
  Outstanding moved{ .order_ = found->second.order_,
                     .onResults_ = found->second.onResults_,
                     .resends_ = found->second.resends_ };
  moved.order_.pieces_ = aPieces;
  outstanding_[number] = std::move(moved);
  Resend({ number });
}

auto StageBroker::OnCoordinatorsChanged(
  const std::map<std::string, std::string>& aBefore) -> void
{
  for (const auto& [service, before] : aBefore) {
    const auto& after = CoordinatorOf(service);
    if (after == before) {
      continue;
    }
    Log::Write(LogLevel::Info, "collector_changed",
               { { "service", service },
                 { "from", before },
                 { "to", after },
                 { "hosts", std::to_string(fleet_->hosts_.size()) },
                 { "passed_over", std::to_string(unreachable_.size()) } });
    if (after == fleet_->self_) {
      batcher_.OnPossibleContention(service);
    } else if (before == fleet_->self_) {
      batcher_.MoveWaiting(service);
    }
  }
}

} // namespace goldcrestcroft

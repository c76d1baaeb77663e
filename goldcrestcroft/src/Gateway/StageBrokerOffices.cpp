#include "../Observability/Log.h"
#include "StageBroker.h"

#include <utility>

namespace goldcrestcroft {

namespace {

/** A collector that could not be reached is passed over for this long; by then
 * the fleet knows whether it lives. */
constexpr auto kPassOver = std::chrono::milliseconds{ 2500 };
/** A host that reaches none of so many others is cut off itself. */
constexpr std::size_t kMostPassedOver = 3;

} // namespace

auto StageBroker::CollectorOf(const std::string& aService) -> const std::string&
{
  const auto [found, isNew] = collectors_.try_emplace(aService);
  if (isNew && passedOver_.size() < kMostPassedOver) {
    auto hosts = fleet_->Collectors();
    std::erase_if(
      hosts, [this](const auto& aHost) { return passedOver_.contains(aHost); });
    found->second = ChooseCollector(aService, hosts);
  }
  if (found->second.empty()) {
    found->second = fleet_->self_;
  }
  return found->second;
}

auto StageBroker::PassOver(const std::string& aHost) -> void
{
  passedOver_[aHost] = clock_.Now() + kPassOver;
  ReviewOffices(std::exchange(collectors_, {}));
}

auto StageBroker::ForgetPassedOver() -> void
{
  const auto now = clock_.Now();
  const auto over = std::erase_if(
    passedOver_, [&](const auto& aItem) { return aItem.second <= now; });
  if (over > 0) {
    ReviewOffices(std::exchange(collectors_, {}));
  }
}

auto StageBroker::OnTell(std::uint64_t aNumber,
                         std::vector<PieceResult> aResults) -> void
{
  const auto found = outstanding_.find(aNumber);
  if (found == outstanding_.end()) {
    return;
  }
  auto& outstanding = found->second;
  std::vector<std::uint32_t> moved;
  for (const auto& result : aResults) {
    if (result.end_ == PieceEnd::Moved) {
      moved.push_back(result.piece_);
    }
    if (result.end_ == PieceEnd::Moved || result.end_ == PieceEnd::Made) {
      std::erase(outstanding.order_.pieces_, result.piece_);
    }
  }
  if (!moved.empty()) {
    // Offices may be under review right now.
    asio::post(context_, [this, aNumber, moved = std::move(moved)] {
      MoveOn(aNumber, moved);
    });
    return;
  }
  const auto tell = outstanding.tell_;
  tell(std::move(aResults));
}

auto StageBroker::MoveOn(std::uint64_t aNumber,
                         const std::vector<std::uint32_t>& aPieces) -> void
{
  const auto found = outstanding_.find(aNumber);
  if (found == outstanding_.end()) {
    return;
  }
  // The rest of the order is in calls of the old collector, which tells their
  // results.
  const auto number = nextNumber_++;
  found->second.movedOn_.push_back(number);
  Outstanding moved{ .order_ = found->second.order_,
                     .tell_ = found->second.tell_,
                     .moves_ = found->second.moves_ };
  moved.order_.pieces_ = aPieces;
  outstanding_[number] = std::move(moved);
  SendAgain({ number });
}

auto StageBroker::ReviewOffices(
  const std::map<std::string, std::string>& aBefore) -> void
{
  for (const auto& [service, before] : aBefore) {
    const auto& after = CollectorOf(service);
    if (after == before) {
      continue;
    }
    Log::Write(LogLevel::Info, "collector_changed",
               { { "service", service },
                 { "from", before },
                 { "to", after },
                 { "hosts", std::to_string(fleet_->hosts_.size()) },
                 { "passed_over", std::to_string(passedOver_.size()) } });
    if (after == fleet_->self_) {
      desk_.OnOtherCallers(service);
    } else if (before == fleet_->self_) {
      desk_.HandBack(service);
    }
  }
}

} // namespace goldcrestcroft

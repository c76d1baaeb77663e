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

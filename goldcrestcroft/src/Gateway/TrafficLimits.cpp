#include "../Observability/Log.h"
#include "Traffic.h"

namespace goldcrestcroft {

namespace {

/** The control thread answers sooner, whether or not any host does; longer than
 * the time that it gives all keepers. */
constexpr auto kLongestSearch = std::chrono::milliseconds{ 500 };

} // namespace

auto Traffic::SeekPermit(EngineLimit aLimit, Duration aPatience) -> Task<Permit>
{
  const auto number = ++lastPermit_;
  const auto sought = std::make_shared<SoughtPermit>(
    SoughtPermit{ .answered_ = asio::steady_timer(context_, kLongestSearch),
                  .permit_ = { .wait_ = kLongestSearch } });
  soughtPermits_.emplace(number, sought);
  spread_.permit_(
    { .number_ = number, .limit_ = std::move(aLimit), .patience_ = aPatience });
  co_await sought->answered_.async_wait(kAsTuple);
  if (soughtPermits_.erase(number) > 0) {
    metrics_.Count("permits_unanswered");
  }
  co_return sought->permit_;
}

auto Traffic::OnPermit(const PermitAnswer& aAnswer) -> void
{
  const auto found = soughtPermits_.find(aAnswer.number_);
  if (found == soughtPermits_.end()) {
    return; // It went elsewhere, so the turn is lost.
  }
  found->second->permit_ = aAnswer.permit_;
  found->second->answered_.cancel();
  soughtPermits_.erase(found);
}

} // namespace goldcrestcroft

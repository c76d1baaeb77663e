#include "../Observability/Log.h"
#include "Traffic.h"

namespace goldcrestcroft {

namespace {

/** Safety limit: the control thread replies sooner, whether or not any host
 * replies. Longer than the time that it waits for all owners. */
constexpr auto kPermitTimeout = std::chrono::milliseconds{ 500 };

} // namespace

auto Traffic::RequestPermit(RateLimits aLimits, Duration aMaxWait)
  -> Task<Permit>
{
  const auto number = ++lastPermit_;
  const auto pending = std::make_shared<PendingPermit>(
    PendingPermit{ .answered_ = asio::steady_timer(context_, kPermitTimeout),
                   .permit_ = { .wait_ = kPermitTimeout } });
  pendingPermits_.emplace(number, pending);
  peerCallbacks_.permit_(
    { .number_ = number, .limits_ = std::move(aLimits), .maxWait_ = aMaxWait });
  co_await pending->answered_.async_wait(kAsTuple);
  if (pendingPermits_.erase(number) > 0) {
    metrics_.Count("permits_unanswered");
  }
  co_return pending->permit_;
}

auto Traffic::OnPermit(const PermitReply& aAnswer) -> void
{
  const auto found = pendingPermits_.find(aAnswer.number_);
  if (found == pendingPermits_.end()) {
    return; // The request no longer waits, so the permit is unused.
  }
  found->second->permit_ = aAnswer.permit_;
  found->second->answered_.cancel();
  pendingPermits_.erase(found);
}

} // namespace goldcrestcroft

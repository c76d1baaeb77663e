#include "Deadline.h"

#include <algorithm>
#include <utility>

namespace goldcrestcroft {

namespace {

/** Time for reading bytes that arrived before the expiry: an event loop under a
 * CPU quota runs again within one or two quota periods of 100 ms. */
constexpr auto kGracePeriod = std::chrono::milliseconds{ 250 };
/** A loop that is late by at least one quota period counts as stalled. */
constexpr auto kStallThreshold = std::chrono::milliseconds{ 100 };
/** Limits the delay that a permanently late loop adds to a timeout to a few
 * seconds. */
constexpr auto kMaxGracePeriods = 8;

} // namespace

struct Deadline::State
{
  State(const asio::any_io_executor& aExecutor, HasUnread aHasUnread)
    : timer_(aExecutor)
    , hasUnread_(std::move(aHasUnread))
  {
  }

  asio::steady_timer timer_;
  HasUnread hasUnread_;
  ExpiryHandler onExpiry_;
  SuspendAwareClock clock_;
  TimePoint due_;
  /** When the current wait of the timer ends. */
  TimePoint waitEnd_;
  /** Changes with each wait and when disarmed; expiries of older generations
   * are ignored. */
  std::uint64_t generation_ = 0;
  int gracePeriods_ = 0;
};

Deadline::Deadline(const asio::any_io_executor& aExecutor, HasUnread aHasUnread)
  : state_(std::make_shared<State>(aExecutor, std::move(aHasUnread)))
{
}

auto Deadline::Arm(Duration aTimeout, ExpiryHandler aOnExpiry) -> void
{
  const auto timeout = std::max(aTimeout, Duration{});
  state_->onExpiry_ = std::move(aOnExpiry);
  state_->due_ = state_->clock_.Now() + timeout;
  state_->gracePeriods_ = 0;
  Wait(state_, timeout);
}

auto Deadline::Disarm() -> void
{
  ++state_->generation_;
  state_->onExpiry_ = {};
  state_->timer_.cancel();
}

auto Deadline::Wait(const std::shared_ptr<State>& aState, Duration aTimeout)
  -> void
{
  const auto generation = ++aState->generation_;
  aState->waitEnd_ = aState->clock_.Now() + aTimeout;
  aState->timer_.expires_after(aTimeout);
  // Cancelling the timer neither removes a handler that is queued already nor
  // passes it an error; the generation identifies such a handler.
  aState->timer_.async_wait(
    [weak = std::weak_ptr(aState), generation](auto aError) {
      const auto state = weak.lock();
      if (!aError && state && state->generation_ == generation) {
        OnExpiry(state);
      }
    });
}

auto Deadline::GrantGracePeriod(const std::shared_ptr<State>& aState) -> bool
{
  // One pass of the loop handles a bounded number of I/O events but all expired
  // timers, so a timer can run before the read of bytes that arrived in time. A
  // grace period during which the loop stalled left no time for reading, so
  // another one may follow.
  const auto stalled =
    aState->clock_.Now() - aState->waitEnd_ >= kStallThreshold;
  const auto mayGrant = aState->gracePeriods_ == 0 ||
                        (stalled && aState->gracePeriods_ < kMaxGracePeriods);
  if (!mayGrant || !aState->hasUnread_ || !aState->hasUnread_()) {
    return false;
  }
  ++aState->gracePeriods_;
  Wait(aState, kGracePeriod);
  return true;
}

auto Deadline::OnExpiry(const std::shared_ptr<State>& aState) -> void
{
  if (GrantGracePeriod(aState)) {
    return;
  }
  // A read may be complete and its handler queued behind this one.
  asio::post(aState->timer_.get_executor(), [weak = std::weak_ptr(aState),
                                             generation = aState->generation_] {
    const auto state = weak.lock();
    if (!state || state->generation_ != generation || GrantGracePeriod(state)) {
      return;
    }
    ++state->generation_;
    const auto onExpiry = std::exchange(state->onExpiry_, {});
    onExpiry(std::max(state->clock_.Now() - state->due_, Duration{}));
  });
}

} // namespace goldcrestcroft

#include "Deadline.h"

#include <algorithm>
#include <utility>

namespace goldcrestcroft {

namespace {

/** Time for reading what came before the expiry: a loop under a processor
 * quota runs again within one or two of the quota's periods of 100 ms. */
constexpr auto kGrace = std::chrono::milliseconds{ 250 };
/** A loop that is later than this, one of those periods, has stood still. */
constexpr auto kStoodStill = std::chrono::milliseconds{ 100 };
/** Bounds what a loop that is always late adds to a time, to a few seconds. */
constexpr auto kMostGraces = 8;

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
  OnOver onOver_;
  SuspendAwareClock clock_;
  TimePoint due_;
  /** When the wait that is under way ends. */
  TimePoint waitsUntil_;
  /** Which arming is in force; an expiry belongs to one. */
  std::uint64_t arming_ = 0;
  int graces_ = 0;
};

Deadline::Deadline(const asio::any_io_executor& aExecutor, HasUnread aHasUnread)
  : state_(std::make_shared<State>(aExecutor, std::move(aHasUnread)))
{
}

auto Deadline::Arm(Duration aTime, OnOver aOnOver) -> void
{
  const auto time = std::max(aTime, Duration{});
  state_->onOver_ = std::move(aOnOver);
  state_->due_ = state_->clock_.Now() + time;
  state_->graces_ = 0;
  Wait(state_, time);
}

auto Deadline::Disarm() -> void
{
  ++state_->arming_;
  state_->onOver_ = {};
  state_->timer_.cancel();
}

auto Deadline::Wait(const std::shared_ptr<State>& aState, Duration aTime)
  -> void
{
  const auto arming = ++aState->arming_;
  aState->waitsUntil_ = aState->clock_.Now() + aTime;
  aState->timer_.expires_after(aTime);
  // A handler that is queued already is neither recalled by the timer nor told
  // that it was cancelled.
  aState->timer_.async_wait(
    [weak = std::weak_ptr(aState), arming](auto aError) {
      const auto state = weak.lock();
      if (!aError && state && state->arming_ == arming) {
        OnExpiry(state);
      }
    });
}

auto Deadline::LeaveGrace(const std::shared_ptr<State>& aState) -> bool
{
  // One pass of a loop takes a bounded number of events and all timers, so a
  // timer can come before the read of bytes that came in time; and a grace in
  // which the loop stood still was none.
  const auto stoodStill =
    aState->clock_.Now() - aState->waitsUntil_ >= kStoodStill;
  const auto left =
    aState->graces_ == 0 || (stoodStill && aState->graces_ < kMostGraces);
  if (!left || !aState->hasUnread_ || !aState->hasUnread_()) {
    return false;
  }
  ++aState->graces_;
  Wait(aState, kGrace);
  return true;
}

auto Deadline::OnExpiry(const std::shared_ptr<State>& aState) -> void
{
  if (LeaveGrace(aState)) {
    return;
  }
  // A read may be complete and its handler queued behind this one.
  asio::post(aState->timer_.get_executor(),
             [weak = std::weak_ptr(aState), arming = aState->arming_] {
               const auto state = weak.lock();
               if (!state || state->arming_ != arming || LeaveGrace(state)) {
                 return;
               }
               ++state->arming_;
               const auto onOver = std::exchange(state->onOver_, {});
               onOver(std::max(state->clock_.Now() - state->due_, Duration{}));
             });
}

} // namespace goldcrestcroft

#include "StoreStandin.h"

namespace standins {

using namespace goldcrestcroft;

auto StoreStandin::HandleAt(Endpoint& aEndpoint, Request aRequest)
  -> Task<ResponsePlan>
{
  ++aEndpoint.calls_;
  auto& contents =
    aEndpoint.notRestored_ && wasRestored_ ? replaced_ : contents_;
  // A call that is refused, or that never arrives, has no effect.
  if (aEndpoint.state_ != EndpointState::Open) {
    co_return co_await Refuse(aEndpoint, contents);
  }
  auto reaction = co_await Serve(contents, std::move(aRequest));
  // The state may have changed while the call waited for changes.
  if (aEndpoint.state_ != EndpointState::Open) {
    co_return co_await Refuse(aEndpoint, contents);
  }
  co_return reaction;
}

auto StoreStandin::Refuse(const Endpoint& aEndpoint, const Contents& aContents)
  -> Task<ResponsePlan>
{
  constexpr auto kBusy = 503;
  constexpr auto kTooMany = 429;
  switch (aEndpoint.state_.load()) {
    case EndpointState::TooMany:
      co_return RespondStatus(aContents, kTooMany);
    case EndpointState::Silent: {
      // The caller times out long before.
      asio::steady_timer timer(context_, std::chrono::hours{ 1 });
      co_await timer.async_wait(kAsTuple);
      co_return ResponsePlan{ .drops_ = true };
    }
    case EndpointState::Busy:
    case EndpointState::Open:
      break;
  }
  co_return RespondStatus(aContents, kBusy);
}

} // namespace standins

#include "EngineStandin.h"

namespace standins {

using namespace goldcrestcroft;

auto EngineStandin::EndUnder(const EngineEnding& aEnding) -> void
{
  const std::lock_guard lock(mutex_);
  ending_ = aEnding;
}

auto EngineStandin::EndNow() -> void
{
  const std::lock_guard lock(mutex_);
  if (!isAway_.exchange(true)) {
    asio::co_spawn(context_, EndAndStart(ending_, {}), asio::detached);
  }
}

auto EngineStandin::Ends() -> std::vector<End>
{
  const std::lock_guard lock(mutex_);
  return ends_;
}

auto EngineStandin::IsEndedBy(const Request& aRequest) const -> bool
{
  return !ending_.marker_.empty() &&
         aRequest.body().find(ending_.marker_) != std::string::npos;
}

auto EngineStandin::BeginEnd(const std::string& aRequestId) -> void
{
  endingUnder_.push_back(aRequestId);
  if (!isAway_.exchange(true)) {
    asio::co_spawn(context_, EndAndStart(ending_, ending_.after_),
                   asio::detached);
  }
}

auto EngineStandin::EndAndStart(EngineEnding aEnding,
                                std::chrono::milliseconds aAfter) -> Task<void>
{
  asio::steady_timer timer(context_, aAfter);
  co_await timer.async_wait(kAsTuple);
  if (aEnding.silent_) {
    server_.FallSilent();
  } else {
    server_.Close();
  }
  {
    const std::lock_guard lock(mutex_);
    ends_.push_back({ .requestIds_ = std::move(endingUnder_),
                      .at_ = SuspendAwareClock{}.Now() });
    endingUnder_.clear();
  }
  timer.expires_after(aEnding.away_);
  co_await timer.async_wait(kAsTuple);
  server_.Close();
  server_.Open();
  Restart();
  if (onStart_) {
    onStart_();
  }
  isAway_ = false;
}

} // namespace standins

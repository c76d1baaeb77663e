#include "EngineStandin.h"

namespace standins {

using namespace goldcrestcroft;

auto EngineStandin::CrashOnMarker(const EngineCrashPlan& aPlan) -> void
{
  const std::lock_guard lock(mutex_);
  crashPlan_ = aPlan;
}

auto EngineStandin::CrashNow() -> void
{
  const std::lock_guard lock(mutex_);
  if (!isUnavailable_.exchange(true)) {
    asio::co_spawn(context_, CrashAndRestart(crashPlan_, {}), asio::detached);
  }
}

auto EngineStandin::Crashes() -> std::vector<End>
{
  const std::lock_guard lock(mutex_);
  return crashes_;
}

auto EngineStandin::TriggersCrash(const Request& aRequest) const -> bool
{
  if (!crashPlan_.marker_.empty() &&
      aRequest.body().find(crashPlan_.marker_) != std::string::npos) {
    return true;
  }
  const std::string prompt(aRequest["Goldcrestcroft-Prefix-Hash"]);
  const auto part = prompt.find(crashPlan_.part_ + ":");
  return !crashPlan_.part_.empty() && part != std::string::npos &&
         prompt.find(',', part) != std::string::npos;
}

auto EngineStandin::BeginCrash(const std::string& aRequestId) -> void
{
  crashedDuring_.push_back(aRequestId);
  if (!isUnavailable_.exchange(true)) {
    asio::co_spawn(context_, CrashAndRestart(crashPlan_, crashPlan_.after_),
                   asio::detached);
  }
}

auto EngineStandin::CrashAndRestart(EngineCrashPlan aPlan,
                                    std::chrono::milliseconds aAfter)
  -> Task<void>
{
  asio::steady_timer timer(context_, aAfter);
  co_await timer.async_wait(kAsTuple);
  if (aPlan.silent_) {
    server_.StopResponding();
  } else {
    server_.Close();
  }
  {
    const std::lock_guard lock(mutex_);
    crashes_.push_back({ .requestIds_ = std::move(crashedDuring_),
                         .at_ = SuspendAwareClock{}.Now() });
    crashedDuring_.clear();
  }
  timer.expires_after(aPlan.downFor_);
  co_await timer.async_wait(kAsTuple);
  server_.Close();
  server_.Open();
  Restart();
  if (onStart_) {
    onStart_();
  }
  isUnavailable_ = false;
}

} // namespace standins

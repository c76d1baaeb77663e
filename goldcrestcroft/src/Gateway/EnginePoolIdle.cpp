#include "../Observability/Log.h"
#include "EnginePool.h"

namespace goldcrestcroft {

auto EnginePool::CloseIdleConnections(EngineState& aEngine) -> void
{
  for (const auto& idle : aEngine.kept_) {
    idle.connection_->Close();
    --aEngine.openConnections_;
  }
  aEngine.kept_.clear();
}

auto EnginePool::TakeIdle(EngineState& aEngine, bool aNoRetry)
  -> std::optional<IdleConnection>
{
  const auto now = clock_.Now();
  const auto limit = idleReuseLimits_.find(aEngine.entry_.service_);
  while (!aEngine.kept_.empty()) {
    auto idle = std::move(aEngine.kept_.back());
    aEngine.kept_.pop_back();
    const auto isSafe = limit == idleReuseLimits_.end() ||
                        limit->second.Allows(now - idle.since_, aNoRetry, now);
    const auto usable =
      isSafe && now < idle.until_ && idle.connection_->IsOpen() &&
      idle.connection_->Buffer().size() == 0 &&
      ProbeIdle(idle.connection_->Socket()) == IdleState::Quiet;
    if (usable) {
      return idle;
    }
    idle.connection_->Close();
    --aEngine.openConnections_;
  }
  return std::nullopt;
}

auto EnginePool::IsReachable(std::shared_ptr<EngineState> aEngine) -> Task<bool>
{
  // An idle connection would have been closed when the engine's process ended.
  const auto hasLive =
    std::any_of(aEngine->kept_.begin(), aEngine->kept_.end(), [](auto& aIdle) {
      return aIdle.connection_->IsOpen() &&
             ProbeIdle(aIdle.connection_->Socket()) == IdleState::Quiet;
    });
  if (hasLive) {
    co_return true;
  }
  co_return co_await IsListening(std::move(aEngine));
}

auto EnginePool::IsListening(std::shared_ptr<EngineState> aEngine) -> Task<bool>
{
  const auto connection = std::make_shared<EngineConnection>(context_);
  const auto error = co_await connection->Connect(aEngine->entry_.address_,
                                                  options_.connectTimeout_);
  connection->Close();
  // Any other error may come from the link or this host. If the engine is
  // gone, the store will show it.
  co_return error != asio::error::connection_refused;
}

auto EnginePool::Keep(const EngineLease& aLease, Duration aKeepFor) -> void
{
  auto& engine = *aLease.engine_;
  const auto keepAlive =
    aKeepFor > Duration{} ? aKeepFor : options_.defaultKeepAlive_;
  const auto keepFor = keepAlive - options_.keepAliveMargin_;
  const auto reusable = aLease.connection_->Buffer().size() == 0 &&
                        aLease.connection_->WriteDone() &&
                        engines_->Contains(engine.entry_) &&
                        !engine.availability_.IsLeaving();
  if (!reusable || keepFor <= Duration{} ||
      engine.kept_.size() >= options_.maxIdle_) {
    Drop(aLease);
    return;
  }
  aLease.connection_->Disarm();
  const auto now = clock_.Now();
  engine.kept_.push_back({ .connection_ = aLease.connection_,
                           .until_ = now + keepFor,
                           .since_ = now });
}

auto EnginePool::NoteBroken(const EngineLease& aLease) -> void
{
  const auto& connection = *aLease.connection_;
  const auto byPeer = !connection.TimedOut() && !connection.IsPaused();
  if (!aLease.idleFor_ || !byPeer || connection.HasReceived()) {
    return;
  }
  const auto now = clock_.Now();
  const auto& entry = aLease.engine_->entry_;
  auto& limit = idleReuseLimits_[entry.service_];
  if (!limit.OnLost(*aLease.idleFor_, now - connection.LastActivityAt(), now)) {
    return;
  }
  options_.count_("connections_forgotten");
  Log::Write(
    LogLevel::Info, "connection_forgotten",
    { { "engine", entry.id_ },
      { "service", entry.service_ },
      { "rested_ms", std::to_string(ToMilliseconds(*aLease.idleFor_)) },
      { "used_up_to_ms", std::to_string(ToMilliseconds(limit.MaxIdle())) } });
}

auto EnginePool::Drop(const EngineLease& aLease) -> void
{
  aLease.connection_->Close();
  --aLease.engine_->openConnections_;
}

} // namespace goldcrestcroft

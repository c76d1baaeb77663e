#include "../Observability/Log.h"
#include "EnginePool.h"

namespace goldcrestcroft {

auto EnginePool::CloseKept(EngineState& aEngine) -> void
{
  for (const auto& kept : aEngine.kept_) {
    kept.connection_->Close();
    --aEngine.openConnections_;
  }
  aEngine.kept_.clear();
}

auto EnginePool::TakeKept(EngineState& aEngine, bool aOnce)
  -> std::optional<Kept>
{
  const auto now = clock_.Now();
  const auto limit = restLimits_.find(aEngine.entry_.service_);
  while (!aEngine.kept_.empty()) {
    auto kept = std::move(aEngine.kept_.back());
    aEngine.kept_.pop_back();
    const auto isSafe = limit == restLimits_.end() ||
                        limit->second.Allows(now - kept.since_, aOnce, now);
    const auto usable =
      isSafe && now < kept.until_ && kept.connection_->IsOpen() &&
      kept.connection_->Buffer().size() == 0 &&
      ProbeIdle(kept.connection_->Socket()) == IdleState::Quiet;
    if (usable) {
      return kept;
    }
    kept.connection_->Close();
    --aEngine.openConnections_;
  }
  return std::nullopt;
}

auto EnginePool::Reaches(std::shared_ptr<EngineState> aEngine) -> Task<bool>
{
  // One that is kept for later has broken with the process that held it.
  const auto stands =
    std::any_of(aEngine->kept_.begin(), aEngine->kept_.end(), [](auto& aKept) {
      return aKept.connection_->IsOpen() &&
             ProbeIdle(aKept.connection_->Socket()) == IdleState::Quiet;
    });
  if (stands) {
    co_return true;
  }
  const auto connection = std::make_shared<EngineConnection>(context_);
  const auto error = co_await connection->Connect(aEngine->entry_.address_,
                                                  options_.connectTimeout_);
  connection->Close();
  // Anything else may be the link or this host; the store tells in time.
  co_return error != asio::error::connection_refused;
}

auto EnginePool::Keep(const EngineLease& aLease, Duration aKeepFor) -> void
{
  auto& engine = *aLease.engine_;
  const auto asked = aKeepFor > Duration{} ? aKeepFor : options_.defaultKeep_;
  const auto keepFor = asked - options_.keepMargin_;
  const auto clean = aLease.connection_->Buffer().size() == 0 &&
                     aLease.connection_->WriteDone() &&
                     engines_->Contains(engine.entry_) &&
                     !engine.consent_.IsLeaving();
  if (!clean || keepFor <= Duration{} ||
      engine.kept_.size() >= options_.mostKept_) {
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
  if (!aLease.rested_ || !byPeer || connection.HasHeard()) {
    return;
  }
  const auto now = clock_.Now();
  const auto& entry = aLease.engine_->entry_;
  auto& limit = restLimits_[entry.service_];
  if (!limit.OnLost(*aLease.rested_, now - connection.HeardAt(), now)) {
    return;
  }
  options_.count_("connections_forgotten");
  Log::Write(
    LogLevel::Info, "connection_forgotten",
    { { "engine", entry.id_ },
      { "service", entry.service_ },
      { "rested_ms", std::to_string(ToMilliseconds(*aLease.rested_)) },
      { "used_up_to_ms", std::to_string(ToMilliseconds(limit.Longest())) } });
}

auto EnginePool::Drop(const EngineLease& aLease) -> void
{
  aLease.connection_->Close();
  --aLease.engine_->openConnections_;
}

} // namespace goldcrestcroft

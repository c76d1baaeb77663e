#include "EnginePool.h"

#include "../Observability/Log.h"

namespace goldcrestcroft {

namespace {

/** An engine's word on its load says little after this. */
constexpr auto kReportLife = std::chrono::milliseconds{ 1500 };

auto KeyOf(const EngineEntry& aEntry) -> std::string
{
  return aEntry.id_ + "|" + aEntry.address_ + "|" +
         std::to_string(aEntry.startedAt_);
}

} // namespace

auto EngineState::ReportedRequests(TimePoint aNow) const -> double
{
  const auto age = aNow - reportedAt_;
  if (age >= kReportLife) {
    return 0.0;
  }
  const auto freshness = 1.0 - std::chrono::duration<double>(age) /
                                 std::chrono::duration<double>(kReportLife);
  return (report_.running_ + report_.waiting_) * freshness;
}

auto EnginePool::SetEngines(std::shared_ptr<const EngineList> aEngines) -> void
{
  engines_ = std::move(aEngines);
  std::erase_if(states_, [&](const auto& aItem) {
    const auto& state = aItem.second;
    if (engines_->Contains(state->entry_)) {
      return false;
    }
    for (const auto& kept : state->kept_) {
      kept.connection_->Close();
    }
    state->kept_.clear();
    return true;
  });
}

auto EnginePool::StateOf(const EngineEntry& aEntry)
  -> std::shared_ptr<EngineState>
{
  auto& state = states_[KeyOf(aEntry)];
  if (!state) {
    state = std::make_shared<EngineState>();
    state->entry_ = aEntry;
  }
  return state;
}

auto EnginePool::TakeKept(EngineState& aEngine)
  -> std::shared_ptr<EngineConnection>
{
  const auto now = clock_.Now();
  while (!aEngine.kept_.empty()) {
    auto kept = std::move(aEngine.kept_.back());
    aEngine.kept_.pop_back();
    const auto usable =
      now < kept.until_ && kept.connection_->IsOpen() &&
      kept.connection_->Buffer().size() == 0 &&
      ProbeIdle(kept.connection_->Socket()) == IdleState::Quiet;
    if (usable) {
      return kept.connection_;
    }
    kept.connection_->Close();
    --aEngine.openConnections_;
  }
  return nullptr;
}

auto EnginePool::IsSettled(EngineConnection& aConnection) -> Task<bool>
{
  asio::steady_timer timer(context_, options_.settleTime_);
  co_await timer.async_wait(kAsTuple);
  co_return aConnection.IsOpen() &&
    ProbeIdle(aConnection.Socket()) == IdleState::Quiet;
}

auto EnginePool::Open(std::shared_ptr<EngineState> aEngine, bool aSettles)
  -> Task<EngineLease>
{
  auto connection = TakeKept(*aEngine);
  if (connection) {
    connection->Renew();
    co_return EngineLease{ .engine_ = aEngine, .connection_ = connection };
  }
  connection = std::make_shared<EngineConnection>(context_);
  ++aEngine->openConnections_;
  const auto error = co_await connection->Connect(aEngine->entry_.address_,
                                                  options_.connectTimeout_);
  auto reset = error == asio::error::connection_reset;
  if (!error && aSettles) {
    const auto settled = co_await IsSettled(*connection);
    reset = !settled;
  }
  if (error || reset) {
    connection->Close();
    --aEngine->openConnections_;
    // One that resets serves on the connections that it has.
    if (!reset) {
      aEngine->health_.OnUnreachable(clock_.Now());
    }
    Log::Write(LogLevel::Info,
               reset ? "engine_connection_reset" : "engine_unreachable",
               { { "engine", aEngine->entry_.id_ },
                 { "address", aEngine->entry_.address_ },
                 { "reason", error.message() } });
    co_return EngineLease{ .engine_ = aEngine };
  }
  co_return EngineLease{ .engine_ = aEngine, .connection_ = connection };
}

auto EnginePool::Keep(const EngineLease& aLease, Duration aKeepFor) -> void
{
  auto& engine = *aLease.engine_;
  const auto asked = aKeepFor > Duration{} ? aKeepFor : options_.defaultKeep_;
  const auto keepFor = asked - options_.keepMargin_;
  const auto clean = aLease.connection_->Buffer().size() == 0 &&
                     aLease.connection_->WriteDone() &&
                     engines_->Contains(engine.entry_);
  if (!clean || keepFor <= Duration{} ||
      engine.kept_.size() >= options_.mostKept_) {
    Drop(aLease);
    return;
  }
  aLease.connection_->Disarm();
  engine.kept_.push_back(
    { .connection_ = aLease.connection_, .until_ = clock_.Now() + keepFor });
}

auto EnginePool::Drop(const EngineLease& aLease) -> void
{
  aLease.connection_->Close();
  --aLease.engine_->openConnections_;
}

} // namespace goldcrestcroft

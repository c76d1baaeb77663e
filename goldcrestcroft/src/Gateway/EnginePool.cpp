#include "EnginePool.h"

#include "../Observability/Log.h"
#include "EngineExchange.h"

namespace goldcrestcroft {

namespace {

/** An engine's word on its load says little after this. */
constexpr auto kReportLife = std::chrono::milliseconds{ 1500 };
/** Status of an answer that may ask for a pause. */
constexpr auto kRefused = 503;

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
    CloseKept(*state);
    return true;
  });
  const auto now = clock_.Now();
  std::erase_if(leaving_, [&](const auto& aItem) {
    return now - aItem.second >= options_.rememberLeaving_;
  });
  limits_.Expire(now);
  std::erase_if(restLimits_,
                [&](const auto& aItem) { return aItem.second.IsOver(now); });
}

auto EnginePool::OnLeaving(const std::string& aId, std::uint64_t aStartedAt)
  -> void
{
  if (!leaving_.emplace(std::pair(aId, aStartedAt), clock_.Now()).second) {
    return;
  }
  for (const auto& [key, state] : states_) {
    const auto& entry = state->entry_;
    if (entry.id_ == aId && entry.startedAt_ == aStartedAt) {
      state->consent_.OnLeaving();
      CloseKept(*state);
    }
  }
}

auto EnginePool::Heed(const EngineLease& aLease, const EngineAnswerHead& aHead)
  -> void
{
  auto& engine = *aLease.engine_;
  const auto& entry = engine.entry_;
  const auto now = clock_.Now();
  if (aHead.leaving_ && !engine.consent_.IsLeaving()) {
    Log::Write(LogLevel::Info, "engine_leaving",
               { { "engine", entry.id_ },
                 { "service", entry.service_ },
                 { "started_at", std::to_string(entry.startedAt_) } });
    engine.consent_.OnLeaving();
    options_.count_("engines_leaving");
    OnLeaving(entry.id_, entry.startedAt_);
    options_.onLeaving_(entry);
  }
  HeedLimit(aLease, aHead);
  if (aHead.status_ == kRefused && aHead.retryAfter_ > Duration{}) {
    engine.consent_.OnPauseAsked(aHead.retryAfter_, now);
    options_.count_("engine_pauses_asked");
    Log::Write(
      LogLevel::Info, "engine_asks_pause",
      { { "engine", entry.id_ },
        { "asked_ms", std::to_string(ToMilliseconds(aHead.retryAfter_)) },
        { "pause_ms",
          std::to_string(ToMilliseconds(engine.consent_.PauseLeft(now))) } });
  }
}

auto EnginePool::StateOf(const EngineEntry& aEntry)
  -> std::shared_ptr<EngineState>
{
  auto& state = states_[KeyOf(aEntry)];
  if (!state) {
    state = std::make_shared<EngineState>();
    state->entry_ = aEntry;
    state->consent_ =
      EngineConsent({ .longestPause_ = options_.longestPause_ });
    const EngineStart start(aEntry.id_, aEntry.startedAt_);
    if (leaving_.contains(start)) {
      state->consent_.OnLeaving();
    }
    const auto word = limits_.Find(start);
    state->limit_ = word ? word->perSecond_ : std::nullopt;
  }
  return state;
}

auto EnginePool::IsSettled(EngineConnection& aConnection) -> Task<bool>
{
  asio::steady_timer timer(context_, options_.settleTime_);
  co_await timer.async_wait(kAsTuple);
  co_return aConnection.IsOpen() &&
    ProbeIdle(aConnection.Socket()) == IdleState::Quiet;
}

auto EnginePool::Connect(std::shared_ptr<EngineState> aEngine,
                         const OpenWish& aWish) -> Task<EngineLease>
{
  if (const auto kept = TakeKept(*aEngine, aWish.once_)) {
    kept->connection_->Renew();
    co_return EngineLease{ .engine_ = aEngine,
                           .connection_ = kept->connection_,
                           .rested_ = clock_.Now() - kept->since_ };
  }
  const auto settles = aWish.settles_;
  const auto connection = std::make_shared<EngineConnection>(context_);
  ++aEngine->openConnections_;
  auto error = co_await connection->Connect(aEngine->entry_.address_,
                                            options_.connectTimeout_);
  connection->SetOpenedAt(clock_.Now());
  if (!error && settles) {
    const auto settled = co_await IsSettled(*connection);
    if (!settled) {
      error = asio::error::connection_reset;
    }
  }
  const auto wanted = aEngine->consent_.MayReceive(clock_.Now()) &&
                      engines_->Contains(aEngine->entry_);
  if (!error && !wanted) {
    connection->Close();
    --aEngine->openConnections_;
    co_return EngineLease{ .engine_ = aEngine };
  }
  if (error) {
    connection->Close();
    --aEngine->openConnections_;
    // One that resets serves on the connections that it has.
    const auto reset = error == asio::error::connection_reset;
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

auto EnginePool::Open(std::shared_ptr<EngineState> aEngine, OpenWish aWish)
  -> Task<EngineLease>
{
  const EngineLease none{ .engine_ = aEngine };
  const EngineLease denied{ .engine_ = aEngine, .denied_ = true };
  // The last guard, whoever asks: callers choose among engines that want work.
  if (!aEngine->consent_.MayReceive(clock_.Now())) {
    co_return none;
  }
  const auto limited = aEngine->limit_.has_value();
  if (limited) {
    if (!co_await AwaitTurn(aEngine, aWish.patience_)) {
      co_return denied;
    }
    if (!aEngine->consent_.MayReceive(clock_.Now())) {
      co_return none;
    }
  }
  const auto turnAt = clock_.Now();
  auto lease = co_await Connect(aEngine, aWish);
  if (!lease.connection_) {
    co_return lease;
  }
  const auto late =
    limited && clock_.Now() - turnAt > options_.usePermitWithin_;
  // The word may have come while the connection was made.
  const auto unasked = !limited && aEngine->limit_;
  if (late || (unasked && !co_await AwaitTurn(aEngine, aWish.patience_))) {
    Keep(lease, {});
    co_return denied;
  }
  if (unasked && ProbeIdle(lease.connection_->Socket()) != IdleState::Quiet) {
    Drop(lease);
    co_return none;
  }
  lease.takenAt_ = clock_.Now();
  co_return lease;
}

} // namespace goldcrestcroft

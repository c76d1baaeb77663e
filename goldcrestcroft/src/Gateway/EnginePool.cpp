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
}

auto EnginePool::CloseKept(EngineState& aEngine) -> void
{
  for (const auto& kept : aEngine.kept_) {
    kept.connection_->Close();
    --aEngine.openConnections_;
  }
  aEngine.kept_.clear();
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

auto EnginePool::Connect(std::shared_ptr<EngineState> aEngine, bool aSettles)
  -> Task<EngineLease>
{
  auto connection = TakeKept(*aEngine);
  if (connection) {
    connection->Renew();
    co_return EngineLease{ .engine_ = aEngine, .connection_ = connection };
  }
  connection = std::make_shared<EngineConnection>(context_);
  ++aEngine->openConnections_;
  auto error = co_await connection->Connect(aEngine->entry_.address_,
                                            options_.connectTimeout_);
  connection->SetOpenedAt(clock_.Now());
  if (!error && aSettles) {
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
  auto lease = co_await Connect(aEngine, aWish.settles_);
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
  engine.kept_.push_back(
    { .connection_ = aLease.connection_, .until_ = clock_.Now() + keepFor });
}

auto EnginePool::Drop(const EngineLease& aLease) -> void
{
  aLease.connection_->Close();
  --aLease.engine_->openConnections_;
}

} // namespace goldcrestcroft

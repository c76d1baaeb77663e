#include "EnginePool.h"

#include "../Observability/Log.h"
#include "EngineExchange.h"

namespace goldcrestcroft {

namespace {

/** A load report is outdated, and ignored, from this age on. */
constexpr auto kReportLifetime = std::chrono::milliseconds{ 1500 };
/** Status of a response that may request a backoff. */
constexpr auto kServiceUnavailable = 503;

auto KeyOf(const EngineEntry& aEntry) -> std::string
{
  return aEntry.id_ + "|" + aEntry.address_ + "|" +
         std::to_string(aEntry.startedAt_) + "|" + aEntry.version_;
}

} // namespace

auto EngineState::ReportFreshness(TimePoint aNow) const -> double
{
  const auto age = aNow - reportedAt_;
  return age >= kReportLifetime
           ? 0.0
           : 1.0 - std::chrono::duration<double>(age) /
                     std::chrono::duration<double>(kReportLifetime);
}

auto EngineState::ReportedRequests(TimePoint aNow) const -> double
{
  return (report_.running_ + report_.waiting_) * ReportFreshness(aNow);
}

auto EngineState::ReportedSlowdown(TimePoint aNow) const -> double
{
  return 1.0 + (report_.slowdown_.value_or(1.0) - 1.0) * ReportFreshness(aNow);
}

auto EnginePool::SetEngines(std::shared_ptr<const EngineList> aEngines) -> void
{
  engines_ = std::move(aEngines);
  std::erase_if(states_, [&](const auto& aItem) {
    const auto& state = aItem.second;
    const auto& entry = state->entry_;
    if (engines_->Contains(entry)) {
      return false;
    }
    CloseIdleConnections(*state);
    // Engines of evacuated zones are used again.
    return !engines_->IsRegistered(entry.id_, entry.startedAt_) ||
           engines_->IsDraining(entry.id_, entry.startedAt_);
  });
  const auto now = clock_.Now();
  std::erase_if(leaving_, [&](const auto& aItem) {
    return now - aItem.second >= options_.drainingRetention_;
  });
  limits_.Expire(now);
  std::erase_if(idleReuseLimits_, [&](const auto& aItem) {
    return aItem.second.HasExpired(now);
  });
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
      state->availability_.OnLeaving();
      CloseIdleConnections(*state);
    }
  }
}

auto EnginePool::UpdateAvailability(const EngineLease& aLease,
                                    const EngineResponseHead& aHead) -> void
{
  auto& engine = *aLease.engine_;
  const auto& entry = engine.entry_;
  const auto now = clock_.Now();
  if (aHead.leaving_ && !engine.availability_.IsLeaving()) {
    Log::Write(LogLevel::Info, "engine_leaving",
               { { "engine", entry.id_ },
                 { "service", entry.service_ },
                 { "started_at", std::to_string(entry.startedAt_) } });
    engine.availability_.OnLeaving();
    options_.count_("engines_leaving");
    OnLeaving(entry.id_, entry.startedAt_);
    options_.onLeaving_(entry);
  }
  UpdateLimit(aLease, aHead);
  if (aHead.status_ == kServiceUnavailable && aHead.retryAfter_ > Duration{}) {
    engine.availability_.OnBackoffRequested(aHead.retryAfter_, now);
    options_.count_("engine_pauses_asked");
    Log::Write(
      LogLevel::Info, "engine_asks_pause",
      { { "engine", entry.id_ },
        { "asked_ms", std::to_string(ToMilliseconds(aHead.retryAfter_)) },
        { "pause_ms", std::to_string(ToMilliseconds(
                        engine.availability_.BackoffLeft(now))) } });
  }
}

auto EnginePool::OnLoad(EngineState& aEngine, const EngineLoadReport& aReport)
  -> void
{
  aEngine.report_ = aReport;
  aEngine.reportedAt_ = clock_.Now();
  if (aReport.slowdown_) {
    statingSlowdown_.insert(aEngine.entry_.service_);
  }
}

auto EnginePool::StateOf(const EngineEntry& aEntry)
  -> std::shared_ptr<EngineState>
{
  auto& state = states_[KeyOf(aEntry)];
  if (!state) {
    state = std::make_shared<EngineState>();
    state->entry_ = aEntry;
    state->availability_ =
      EngineAvailability({ .maxBackoff_ = options_.maxBackoff_ });
    const EngineIncarnation start(aEntry.id_, aEntry.startedAt_);
    if (leaving_.contains(start)) {
      state->availability_.OnLeaving();
    }
    const auto statement = limits_.Find(start);
    state->limit_ = statement ? statement->perSecond_ : std::nullopt;
  }
  // An incarnation may become cold again.
  state->entry_.coldUntil_ = aEntry.coldUntil_;
  return state;
}

auto EnginePool::IsAccepted(EngineConnection& aConnection) -> Task<bool>
{
  asio::steady_timer timer(context_, options_.resetWindow_);
  co_await timer.async_wait(kAsTuple);
  co_return aConnection.IsOpen() &&
    ProbeIdle(aConnection.Socket()) == IdleState::Quiet;
}

auto EnginePool::Connect(std::shared_ptr<EngineState> aEngine,
                         const OpenOptions& aOptions) -> Task<EngineLease>
{
  if (const auto idle = TakeIdle(*aEngine, aOptions.once_)) {
    idle->connection_->ResetExchange();
    co_return EngineLease{ .engine_ = aEngine,
                           .connection_ = idle->connection_,
                           .idleFor_ = clock_.Now() - idle->since_ };
  }
  const auto verify = aOptions.verifyNew_;
  const auto begunAt = clock_.Now();
  const auto connection = std::make_shared<EngineConnection>(context_);
  ++aEngine->openConnections_;
  auto error = co_await connection->Connect(aEngine->entry_.address_,
                                            options_.connectTimeout_);
  connection->SetOpenedAt(clock_.Now());
  if (!error && verify) {
    const auto accepted = co_await IsAccepted(*connection);
    if (!accepted) {
      error = asio::error::connection_reset;
    }
  }
  const auto wanted = aEngine->availability_.MayReceive(clock_.Now()) &&
                      engines_->Contains(aEngine->entry_);
  if (!error && !wanted) {
    connection->Close();
    --aEngine->openConnections_;
    co_return EngineLease{ .engine_ = aEngine };
  }
  if (error) {
    connection->Close();
    --aEngine->openConnections_;
    // An engine that resets new connections still serves its open ones.
    const auto reset = error == asio::error::connection_reset;
    if (error == asio::error::connection_refused) {
      aEngine->refusedAt_ = clock_.Now();
    }
    if (!reset) {
      OnFailure(*aEngine, EngineFailure::Unreachable, begunAt);
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

auto EnginePool::Open(std::shared_ptr<EngineState> aEngine,
                      OpenOptions aOptions) -> Task<EngineLease>
{
  const EngineLease none{ .engine_ = aEngine };
  const EngineLease denied{ .engine_ = aEngine, .denied_ = true };
  // Final check for all users of the pool, which should already have chosen an
  // available engine.
  if (!aEngine->availability_.MayReceive(clock_.Now())) {
    co_return none;
  }
  const auto limited = RateLimitsOf(*aEngine).has_value();
  if (limited) {
    if (!co_await AwaitPermit(aEngine, aOptions.maxWait_)) {
      co_return denied;
    }
    if (!aEngine->availability_.MayReceive(clock_.Now())) {
      co_return none;
    }
  }
  const auto permitAt = clock_.Now();
  auto lease = co_await Connect(aEngine, aOptions);
  if (!lease.connection_) {
    co_return lease;
  }
  const auto permitExpired =
    limited && clock_.Now() - permitAt > options_.permitValidity_;
  // The rate limit may have arrived while the connection was being opened.
  const auto limitAppeared = !limited && RateLimitsOf(*aEngine);
  if (permitExpired ||
      (limitAppeared && !co_await AwaitPermit(aEngine, aOptions.maxWait_))) {
    Keep(lease, {});
    co_return denied;
  }
  if (limitAppeared &&
      ProbeIdle(lease.connection_->Socket()) != IdleState::Quiet) {
    Drop(lease);
    co_return none;
  }
  lease.takenAt_ = clock_.Now();
  // The engine may have become unavailable while a permit was awaited.
  if (limitAppeared && (!aEngine->availability_.MayReceive(lease.takenAt_) ||
                        !engines_->Contains(aEngine->entry_))) {
    Keep(lease, {});
    co_return none;
  }
  co_return lease;
}

} // namespace goldcrestcroft

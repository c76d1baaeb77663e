#include "../Observability/Log.h"
#include "EngineExchange.h"
#include "EnginePool.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** Status of a response of another engine than the intended one. */
constexpr auto kMisdirectedRequest = 421;

auto ToText(const std::optional<double>& aLimit) -> std::string
{
  return aLimit ? std::to_string(*aLimit) : "none";
}

auto IsSuccess(int aStatus) -> bool
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

auto EnginePool::ParseLimits(const EngineEntry& aEntry,
                             const EngineResponseHead& aHead,
                             bool& aReadable) const -> std::optional<double>
{
  std::optional<double> lowest;
  for (const auto& text : aHead.limits_) {
    const auto limit = ParseLimit(text);
    if (!limit) {
      aReadable = false;
      options_.count_("engine_limits_unreadable");
      Log::Write(LogLevel::Warning, "engine_limit_unreadable",
                 { { "engine", aEntry.id_ },
                   { "value", text },
                   { "remedy", "its last valid limit stays in force" } });
      return std::nullopt;
    }
    lowest = lowest ? std::min(*lowest, *limit) : *limit;
  }
  return lowest;
}

auto EnginePool::UpdateLimit(const EngineLease& aLease,
                             const EngineResponseHead& aHead) -> void
{
  auto& engine = *aLease.engine_;
  const auto& entry = engine.entry_;
  auto readable = true;
  const auto limit = ParseLimits(entry, aHead, readable);
  if (!readable || aHead.status_ == kMisdirectedRequest) {
    return;
  }
  if (!limit) {
    // The limit does not end with a response that may have been under way
    // when it was stated, nor with an unsuccessful response, which may have
    // been sent before the engine looked at the request.
    const auto known = limits_.Find({ entry.id_, entry.startedAt_ });
    if (!engine.limit_ || !known || aLease.takenAt_ <= known->statedAt_ ||
        !IsSuccess(aHead.status_)) {
      return;
    }
  }
  const auto now = clock_.Now();
  const EngineLimit statement{ .engine_ = entry.id_,
                               .startedAt_ = entry.startedAt_,
                               .perSecond_ = limit,
                               .statedAt_ = now };
  const auto merged = limits_.Merge(statement, now);
  if (merged == LimitTable::MergeResult::Ignored) {
    return;
  }
  if (merged == LimitTable::MergeResult::Changed) {
    ApplyLimit(statement, "engine_limit_heard");
  }
  options_.onLimit_(statement);
}

auto EnginePool::OnLimit(const EngineLimit& aLimit) -> void
{
  if (limits_.Merge(aLimit, clock_.Now()) == LimitTable::MergeResult::Changed) {
    ApplyLimit(aLimit, "engine_limit_known");
  }
}

auto EnginePool::ApplyLimit(const EngineLimit& aLimit,
                            const std::string& aEvent) -> void
{
  std::size_t requests = 0;
  for (const auto& [key, state] : states_) {
    const auto& entry = state->entry_;
    if (entry.id_ == aLimit.engine_ && entry.startedAt_ == aLimit.startedAt_) {
      state->limit_ = aLimit.perSecond_;
      requests += state->ownRequests_;
      if (!aLimit.perSecond_) {
        state->availability_.OnLimitEnded();
      }
    }
  }
  options_.count_("engine_limits_changed");
  Log::Write(LogLevel::Info, aEvent,
             { { "engine", aLimit.engine_ },
               { "started_at", std::to_string(aLimit.startedAt_) },
               { "per_second", ToText(aLimit.perSecond_) },
               { "age_ms", std::to_string(
                             ToMilliseconds(clock_.Now() - aLimit.statedAt_)) },
               { "own_requests", std::to_string(requests) } });
}

auto EnginePool::RateLimitsOf(const EngineState& aEngine) const
  -> std::optional<RateLimits>
{
  const auto& entry = aEngine.entry_;
  RateLimits limits{ .engine_ = entry.id_, .startedAt_ = entry.startedAt_ };
  if (const auto known = limits_.Find({ entry.id_, entry.startedAt_ });
      known && known->perSecond_) {
    limits.advertised_ = *known;
  }
  const auto warmUp = warmUpRates_.find(entry.service_);
  if (warmUp != warmUpRates_.end() && clock_.Now() < entry.coldUntil_) {
    limits.warmUpPerSecond_ = warmUp->second;
  }
  return limits.PerSecond() ? std::optional(std::move(limits)) : std::nullopt;
}

auto EnginePool::AwaitPermit(std::shared_ptr<EngineState> aEngine,
                             Duration aMaxWait) -> Task<bool>
{
  auto limits = RateLimitsOf(*aEngine);
  if (!limits) {
    co_return true;
  }
  const auto isAdvertised = limits->advertised_.has_value();
  if (limits->warmUpPerSecond_) {
    options_.count_("permits_for_warm_up");
  }
  const auto permit = co_await options_.permit_(std::move(*limits), aMaxWait);
  options_.count_(permit.granted_ ? "permits_granted" : "permits_denied");
  if (!permit.granted_) {
    const auto now = clock_.Now();
    // The limit of a warm-up ends with it.
    const auto wait =
      isAdvertised
        ? permit.wait_
        : std::min<Duration>(permit.wait_, aEngine->entry_.coldUntil_ - now);
    aEngine->availability_.OnDenied(wait, now);
    co_return !RateLimitsOf(*aEngine);
  }
  const auto wait = std::min(permit.wait_, aMaxWait);
  if (wait > Duration{}) {
    asio::steady_timer timer(context_, wait);
    co_await timer.async_wait(kAsTuple);
  }
  co_return true;
}

} // namespace goldcrestcroft

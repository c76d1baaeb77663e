#include "../Observability/Log.h"
#include "EngineExchange.h"
#include "EnginePool.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** Status of an answer of another engine than the one that was meant. */
constexpr auto kWrongEngine = 421;

auto ToText(const std::optional<double>& aLimit) -> std::string
{
  return aLimit ? std::to_string(*aLimit) : "none";
}

auto IsSuccess(int aStatus) -> bool
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

auto EnginePool::ReadLimits(const EngineEntry& aEntry,
                            const EngineAnswerHead& aHead,
                            bool& aReadable) const -> std::optional<double>
{
  std::optional<double> least;
  for (const auto& text : aHead.limits_) {
    const auto limit = ReadLimit(text);
    if (!limit) {
      aReadable = false;
      options_.count_("engine_limits_unreadable");
      Log::Write(LogLevel::Warning, "engine_limit_unreadable",
                 { { "engine", aEntry.id_ },
                   { "value", text },
                   { "remedy", "its last word stays in force" } });
      return std::nullopt;
    }
    least = least ? std::min(*least, *limit) : *limit;
  }
  return least;
}

auto EnginePool::HeedLimit(const EngineLease& aLease,
                           const EngineAnswerHead& aHead) -> void
{
  auto& engine = *aLease.engine_;
  const auto& entry = engine.entry_;
  auto readable = true;
  const auto limit = ReadLimits(entry, aHead, readable);
  if (!readable || aHead.status_ == kWrongEngine) {
    return;
  }
  if (!limit) {
    // An answer that was on its way when the limit was named says nothing, nor
    // does one that may come from before the request was looked at.
    const auto known = limits_.Find({ entry.id_, entry.startedAt_ });
    if (!engine.limit_ || !known || aLease.takenAt_ <= known->statedAt_ ||
        !IsSuccess(aHead.status_)) {
      return;
    }
  }
  const auto now = clock_.Now();
  const EngineLimit word{ .engine_ = entry.id_,
                          .startedAt_ = entry.startedAt_,
                          .perSecond_ = limit,
                          .statedAt_ = now };
  const auto merged = limits_.Merge(word, now);
  if (merged == LimitBoard::Merged::Ignored) {
    return;
  }
  if (merged == LimitBoard::Merged::Changed) {
    ApplyLimit(word, "engine_limit_heard");
  }
  options_.onLimit_(word);
}

auto EnginePool::OnLimit(const EngineLimit& aWord) -> void
{
  if (limits_.Merge(aWord, clock_.Now()) == LimitBoard::Merged::Changed) {
    ApplyLimit(aWord, "engine_limit_known");
  }
}

auto EnginePool::ApplyLimit(const EngineLimit& aWord, const std::string& aEvent)
  -> void
{
  std::size_t requests = 0;
  for (const auto& [key, state] : states_) {
    const auto& entry = state->entry_;
    if (entry.id_ == aWord.engine_ && entry.startedAt_ == aWord.startedAt_) {
      state->limit_ = aWord.perSecond_;
      requests += state->ownRequests_;
      if (!aWord.perSecond_) {
        state->consent_.OnLimitEnded();
      }
    }
  }
  options_.count_("engine_limits_changed");
  Log::Write(LogLevel::Info, aEvent,
             { { "engine", aWord.engine_ },
               { "started_at", std::to_string(aWord.startedAt_) },
               { "per_second", ToText(aWord.perSecond_) },
               { "age_ms", std::to_string(
                             ToMilliseconds(clock_.Now() - aWord.statedAt_)) },
               { "own_requests", std::to_string(requests) } });
}

auto EnginePool::AwaitTurn(std::shared_ptr<EngineState> aEngine,
                           Duration aPatience) -> Task<bool>
{
  const auto& entry = aEngine->entry_;
  auto word = limits_.Find({ entry.id_, entry.startedAt_ });
  if (!word || !word->perSecond_) {
    co_return true;
  }
  const auto permit = co_await options_.permit_(std::move(*word), aPatience);
  options_.count_(permit.granted_ ? "permits_granted" : "permits_denied");
  if (!permit.granted_) {
    aEngine->consent_.OnDenied(permit.wait_, clock_.Now());
    co_return !aEngine->limit_;
  }
  const auto wait = std::min(permit.wait_, aPatience);
  if (wait > Duration{}) {
    asio::steady_timer timer(context_, wait);
    co_await timer.async_wait(kAsTuple);
  }
  co_return true;
}

} // namespace goldcrestcroft

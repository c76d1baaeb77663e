#include "EngineAssigner.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

auto Scale(Duration aTime, double aFactor) -> Duration
{
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

auto EngineAssigner::SetCandidates(std::vector<Candidate> aCandidates) -> void
{
  std::sort(aCandidates.begin(), aCandidates.end());
  std::vector<Engine> engines;
  engines.reserve(aCandidates.size());
  auto known = engines_.begin();
  for (auto& candidate : aCandidates) {
    while (known != engines_.end() && known->candidate_.id_ < candidate.id_) {
      ++known;
    }
    const auto isKnown =
      known != engines_.end() && known->candidate_.id_ == candidate.id_;
    engines.push_back(isKnown ? std::move(*known) : Engine{});
    engines.back().candidate_ = std::move(candidate);
    known += isKnown ? 1 : 0;
  }
  engines_ = std::move(engines);
}

auto EngineAssigner::SlownessOf(const Engine& aEngine, TimePoint aNow) const
  -> double
{
  const auto age = std::chrono::duration<double>(aNow - aEngine.measuredAt_) /
                   std::chrono::duration<double>(options_.forgetSpeed_);
  return aEngine.candidate_.slowdown_ *
         (1.0 + (aEngine.slowness_ - 1.0) * std::max(1.0 - age, 0.0));
}

auto EngineAssigner::ReadTime(double aTokens, const Engine& aEngine,
                              TimePoint aNow) const -> Duration
{
  const auto seconds =
    aTokens / options_.tokensPerSecond_ * SlownessOf(aEngine, aNow);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
}

auto EngineAssigner::PendingTime(const Engine& aEngine, TimePoint aNow) const
  -> Duration
{
  // A prompt that takes longer than expected may still take this long.
  constexpr Duration kOverdue = std::chrono::milliseconds{ 50 };
  auto time = Duration{};
  for (const auto& pending : aEngine.pending_) {
    const auto elapsed = aNow - pending.assignedAt_;
    if (elapsed < options_.maxPending_) {
      const auto left = pending.expected_ - elapsed;
      time = std::max(time, left > Duration{} ? left : kOverdue);
    }
  }
  return time;
}

auto EngineAssigner::UncachedTokens(const PromptWork& aWork,
                                    const Engine& aEngine, TimePoint aNow) const
  -> double
{
  auto isCached = true;
  auto tokens = 0.0;
  // Requests that are not assigned here go to the home.
  const auto isHome = aEngine.candidate_.id_ == aWork.home_;
  for (const auto& part : aWork.sharedParts_) {
    const auto found = aEngine.parts_.find(part.fingerprint_);
    isCached =
      isCached && (isHome || (found != aEngine.parts_.end() &&
                              aNow - found->second < options_.keepParts_));
    tokens += isCached ? 0.0 : part.tokens_;
  }
  return tokens;
}

auto EngineAssigner::CostOf(const PromptWork& aWork, const Engine& aEngine,
                            TimePoint aNow) const -> std::optional<Duration>
{
  const auto streams = static_cast<double>(
    std::count_if(aEngine.streamEnds_.begin(), aEngine.streamEnds_.end(),
                  [&](TimePoint aEnd) { return aEnd > aNow; }));
  if (streams >= static_cast<double>(aEngine.candidate_.slots_)) {
    return std::nullopt;
  }
  const auto uncached = UncachedTokens(aWork, aEngine, aNow);
  const auto read = ReadTime(aWork.ownTokens_ + uncached, aEngine, aNow);
  const auto pending = PendingTime(aEngine, aNow);
  auto cost = pending + read;
  cost +=
    Scale(ReadTime(uncached, aEngine, aNow), options_.rereadWeight_ - 1.0);
  cost += Scale(options_.perStream_, streams);
  cost += Scale(read, streams * options_.delayWeight_);
  cost += Scale(std::min(pending, read), streams * options_.overlapWeight_);
  cost += aEngine.candidate_.zone_ == aWork.zone_ ? Duration{}
                                                  : options_.zonePenalty_;
  cost += aEngine.candidate_.cold_ ? options_.coldPenalty_ : Duration{};
  return cost;
}

auto EngineAssigner::Commit(std::uint64_t aId, const PromptWork& aWork,
                            Engine& aEngine, TimePoint aNow) -> void
{
  const auto tokens = aWork.ownTokens_ + UncachedTokens(aWork, aEngine, aNow);
  const auto expected =
    PendingTime(aEngine, aNow) + ReadTime(tokens, aEngine, aNow);
  std::erase_if(aEngine.pending_, [&](const auto& aPending) {
    return aNow - aPending.assignedAt_ >= options_.maxPending_;
  });
  aEngine.pending_.push_back({ .id_ = aId,
                               .assignedAt_ = aNow,
                               .tokens_ = tokens,
                               .expected_ = expected });
  std::erase_if(aEngine.streamEnds_,
                [&](TimePoint aEnd) { return aEnd <= aNow; });
  aEngine.streamEnds_.push_back(
    aNow + expected +
    Scale(options_.tokenTime_,
          aWork.outputTokens_ * SlownessOf(aEngine, aNow)));
  std::erase_if(aEngine.parts_, [&](const auto& aPart) {
    return aNow - aPart.second >= options_.keepParts_;
  });
  for (const auto& part : aWork.sharedParts_) {
    aEngine.parts_[part.fingerprint_] = aNow;
  }
}

auto EngineAssigner::Assign(std::uint64_t aId, const PromptWork& aWork,
                            TimePoint aNow) -> std::optional<std::string>
{
  Engine* best = nullptr;
  auto lowest = Duration::max();
  for (auto& engine : engines_) {
    const auto cost = CostOf(aWork, engine, aNow);
    if (cost && *cost < lowest) {
      best = &engine;
      lowest = *cost;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  Commit(aId, aWork, *best, aNow);
  return best->candidate_.id_;
}

auto EngineAssigner::OnRead(std::uint64_t aId, TimePoint aNow) -> void
{
  for (auto& engine : engines_) {
    const auto found =
      std::find_if(engine.pending_.begin(), engine.pending_.end(),
                   [&](const auto& aPending) { return aPending.id_ == aId; });
    if (found == engine.pending_.end()) {
      continue;
    }
    // Beside other prompts, the time says little about the engine's speed.
    constexpr auto kMinTokens = 2'000.0;
    constexpr auto kMaxSlowness = 8.0;
    if (engine.pending_.size() == 1 && found->tokens_ >= kMinTokens) {
      const auto took = std::chrono::duration<double>(
        aNow - found->assignedAt_ - options_.baseTime_);
      const auto measured =
        std::clamp(took.count() * options_.tokensPerSecond_ / found->tokens_,
                   1.0 / kMaxSlowness, kMaxSlowness);
      const auto known = SlownessOf(engine, aNow) / engine.candidate_.slowdown_;
      engine.slowness_ = known + (measured - known) * options_.smoothing_;
      engine.measuredAt_ = aNow;
    }
    engine.pending_.erase(found);
    return;
  }
}

} // namespace goldcrestcroft

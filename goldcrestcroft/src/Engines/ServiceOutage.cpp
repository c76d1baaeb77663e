#include "ServiceOutage.h"

#include <algorithm>

namespace goldcrestcroft {

auto ServiceOutage::Update(const std::vector<Engine>& aEngines) -> void
{
  std::set<std::string> silent;
  for (const auto& engine : aEngines) {
    if (engine.silent_) {
      silent.insert(engine.id_);
    }
  }
  if (!aEngines.empty() && silent.size() == aEngines.size() &&
      phase_ != Phase::Returning) {
    phase_ = Phase::Out;
    return;
  }
  if (phase_ == Phase::Out) {
    phase_ = Phase::Returning;
    unasked_ = silent;
  }
  std::erase_if(unasked_,
                [&](const auto& aEngine) { return !silent.contains(aEngine); });
  if (unasked_.empty()) {
    phase_ = Phase::None;
  }
}

auto ServiceOutage::Next(const std::vector<Engine>& aEngines,
                         std::size_t aHosts, TimePoint aNow)
  -> std::optional<std::string>
{
  if (phase_ == Phase::None || aEngines.empty()) {
    return std::nullopt;
  }
  const auto pause = std::max(
    options_.interval_, options_.engineInterval_ *
                          static_cast<Duration::rep>(aHosts / aEngines.size()));
  if (phase_ == Phase::Out && askedAt_ && aNow - *askedAt_ < pause) {
    return std::nullopt;
  }
  const auto mayAsk = [&](const Engine& aEngine) {
    return aEngine.silent_ && aEngine.mayReceive_ &&
           (phase_ == Phase::Out || unasked_.contains(aEngine.id_));
  };
  // In turn, beginning after the one that was asked last.
  const auto last =
    std::find_if(aEngines.begin(), aEngines.end(),
                 [&](const auto& aEngine) { return aEngine.id_ == last_; });
  const auto next = last == aEngines.end() ? aEngines.begin() : last + 1;
  auto found = std::find_if(next, aEngines.end(), mayAsk);
  if (found == aEngines.end()) {
    found = std::find_if(aEngines.begin(), next, mayAsk);
    if (found == next) {
      return std::nullopt;
    }
  }
  return found->id_;
}

auto ServiceOutage::OnAsked(const std::string& aEngine, TimePoint aNow) -> void
{
  last_ = aEngine;
  askedAt_ = aNow;
  unasked_.erase(aEngine);
}

} // namespace goldcrestcroft

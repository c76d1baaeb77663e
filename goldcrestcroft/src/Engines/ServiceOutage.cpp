#include "ServiceOutage.h"

#include <algorithm>

namespace goldcrestcroft {

auto ServiceOutage::Update(const std::vector<Engine>& aEngines, TimePoint aNow)
  -> void
{
  std::set<std::string> silent;
  auto isOut = true;
  for (const auto& engine : aEngines) {
    if (engine.silent_) {
      silent.insert(engine.id_);
    }
    isOut = isOut && (engine.silent_ || !engine.mayReceive_);
  }
  if (silent.empty()) {
    phase_ = Phase::None;
  } else if (isOut) {
    phase_ = Phase::Out;
  } else if (phase_ == Phase::Out) {
    phase_ = Phase::Returning;
    returnedAt_ = aNow;
    unasked_ = std::move(silent);
  } else if (phase_ == Phase::Returning &&
             aNow - returnedAt_ >= options_.returnTime_) {
    phase_ = Phase::None;
  }
}

auto ServiceOutage::Next(const std::vector<Engine>& aEngines,
                         std::size_t aHosts, TimePoint aNow) const
  -> std::optional<std::string>
{
  if (phase_ == Phase::None || aEngines.empty()) {
    return std::nullopt;
  }
  const auto mayAsk = [&](const Engine& aEngine) {
    return aEngine.silent_ && aEngine.mayReceive_;
  };
  const auto isUnasked = [&](const Engine& aEngine) {
    return mayAsk(aEngine) && unasked_.contains(aEngine.id_);
  };
  const auto paced = options_.engineInterval_ *
                     static_cast<Duration::rep>(aHosts) /
                     static_cast<Duration::rep>(aEngines.size());
  const auto isQuick = phase_ == Phase::Returning &&
                       std::any_of(aEngines.begin(), aEngines.end(), isUnasked);
  // Up to a fifth more, so that hosts that began together drift apart.
  const auto pause = isQuick ? paced : std::max(options_.interval_, paced);
  const auto spread = 1.0 + options_.position_ / 5.0;
  if (askedAt_ &&
      aNow - *askedAt_ < Duration(static_cast<Duration::rep>(
                           static_cast<double>(pause.count()) * spread))) {
    return std::nullopt;
  }
  const auto last =
    std::find_if(aEngines.begin(), aEngines.end(),
                 [&](const auto& aEngine) { return aEngine.id_ == last_; });
  const auto count = aEngines.size();
  const auto first = last == aEngines.end()
                       ? static_cast<std::size_t>(options_.position_ *
                                                  static_cast<double>(count))
                       : static_cast<std::size_t>(last - aEngines.begin()) + 1;
  for (std::size_t i = 0; i < count; ++i) {
    const auto& engine = aEngines[(first + i) % count];
    if (isQuick ? isUnasked(engine) : mayAsk(engine)) {
      return engine.id_;
    }
  }
  return std::nullopt;
}

auto ServiceOutage::OnAsked(const std::string& aEngine, TimePoint aNow) -> void
{
  last_ = aEngine;
  askedAt_ = aNow;
  unasked_.erase(aEngine);
}

} // namespace goldcrestcroft

#include "LimitCheck.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace soak {

namespace {

// As the platform's pages have it.
constexpr auto kWindow = std::chrono::seconds{ 4 };
constexpr auto kTold = std::chrono::milliseconds{ 500 };

auto Allowed(double aPerSecond) -> std::size_t
{
  return static_cast<std::size_t>(1.5 * 4.0 * aPerSecond + 5.0);
}

using Calls = std::unordered_map<std::string, const CallRecord*>;

/** From when each life of a host had passed on an answer with the limit. */
auto ToldSince(const SoakEvidence& aEvidence, const Calls& aCalls,
               const LimitRecord& aLimit)
  -> std::map<std::pair<std::size_t, unsigned>, TimePoint>
{
  std::map<std::pair<std::size_t, unsigned>, TimePoint> told;
  for (const auto& arrival : aEvidence.arrivals_.at(aLimit.engine_)) {
    const auto call = aCalls.find(arrival.requestId_);
    if (call == aCalls.end() || arrival.at_ < aLimit.from_ ||
        arrival.at_ >= aLimit.to_ || !call->second->whole_) {
      continue;
    }
    const auto& [id, record] = *call;
    const auto since = record->endedAt_;
    const auto [known, isNew] =
      told.try_emplace({ record->host_, record->life_ }, since);
    known->second = std::min(known->second, since);
  }
  return told;
}

/** Requests from hosts that were told and in touch, in order of time. */
auto Counted(const SoakEvidence& aEvidence, const Calls& aCalls,
             const LimitRecord& aLimit) -> std::vector<TimePoint>
{
  const auto told = ToldSince(aEvidence, aCalls, aLimit);
  std::vector<TimePoint> counted;
  for (const auto& arrival : aEvidence.arrivals_.at(aLimit.engine_)) {
    const auto call = aCalls.find(arrival.requestId_);
    if (call == aCalls.end() || arrival.at_ < aLimit.from_ + kContact ||
        arrival.at_ >= aLimit.to_) {
      continue;
    }
    const auto& record = *call->second;
    const auto since = told.find({ record.host_, record.life_ });
    // Another start of the engine may name its limit for the first time.
    const auto counts =
      since != told.end() && since->second + kTold <= arrival.at_ &&
      aEvidence.InTouch(record.host_, arrival.at_, arrival.at_) &&
      !aEvidence.harm_.Within({ EnginePart(aLimit.engine_) },
                              arrival.at_ - kContact, arrival.at_);
    if (counts) {
      counted.push_back(arrival.at_);
    }
  }
  std::sort(counted.begin(), counted.end());
  return counted;
}

} // namespace

auto FindLimitsPassed(const SoakEvidence& aEvidence) -> std::vector<std::string>
{
  Calls calls;
  for (const auto& call : aEvidence.calls_) {
    calls[call.id_] = &call;
  }
  std::vector<std::string> broken;
  for (const auto& limit : aEvidence.limits_) {
    std::deque<TimePoint> window;
    std::size_t most = 0;
    for (const auto at : Counted(aEvidence, calls, limit)) {
      window.push_back(at);
      while (at - window.front() >= kWindow) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    if (most > Allowed(limit.perSecond_)) {
      broken.push_back("limit: " + limit.engine_ + " had named " +
                       std::to_string(limit.perSecond_) + " a second and got " +
                       std::to_string(most) + " requests in 4 s; allowed " +
                       std::to_string(Allowed(limit.perSecond_)));
    }
  }
  return broken;
}

} // namespace soak

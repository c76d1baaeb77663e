#include "LimitCheck.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace soak {

namespace {

// From the platform's documentation.
constexpr auto kWindow = std::chrono::seconds{ 4 };
constexpr auto kLimitInForce = std::chrono::milliseconds{ 500 };

auto Allowed(double aPerSecond) -> std::size_t
{
  return static_cast<std::size_t>(1.5 * 4.0 * aPerSecond + 5.0);
}

using Calls = std::unordered_map<std::string, const CallRecord*>;

/** When each incarnation of a host first completed forwarding a response that
 * advertises the limit. */
auto AdvertisedSince(const SoakEvidence& aEvidence, const Calls& aCalls,
                     const LimitRecord& aLimit)
  -> std::map<std::pair<std::size_t, unsigned>, TimePoint>
{
  std::map<std::pair<std::size_t, unsigned>, TimePoint> advertised;
  for (const auto& arrival : aEvidence.arrivals_.at(aLimit.engine_)) {
    const auto call = aCalls.find(arrival.requestId_);
    if (call == aCalls.end() || arrival.at_ < aLimit.from_ ||
        arrival.at_ >= aLimit.to_ || !call->second->complete_) {
      continue;
    }
    const auto& [id, record] = *call;
    const auto since = record->endedAt_;
    const auto [known, isNew] =
      advertised.try_emplace({ record->host_, record->incarnation_ }, since);
    known->second = std::min(known->second, since);
  }
  return advertised;
}

/** Arrival times, in order, of requests from hosts that had received the limit
 * and were in contact. */
auto CountedArrivals(const SoakEvidence& aEvidence, const Calls& aCalls,
                     const LimitRecord& aLimit) -> std::vector<TimePoint>
{
  const auto advertised = AdvertisedSince(aEvidence, aCalls, aLimit);
  std::vector<TimePoint> counted;
  for (const auto& arrival : aEvidence.arrivals_.at(aLimit.engine_)) {
    const auto call = aCalls.find(arrival.requestId_);
    if (call == aCalls.end() || arrival.at_ < aLimit.from_ + kContactTime ||
        arrival.at_ >= aLimit.to_) {
      continue;
    }
    const auto& record = *call->second;
    const auto since = advertised.find({ record.host_, record.incarnation_ });
    // A new incarnation of the engine may not have advertised its limit yet.
    const auto counts =
      since != advertised.end() &&
      since->second + kLimitInForce <= arrival.at_ &&
      aEvidence.WasInContact(record.host_, arrival.at_, arrival.at_) &&
      !aEvidence.faultLog_.HasFault({ EnginePart(aLimit.engine_) },
                                    arrival.at_ - kContactTime, arrival.at_);
    if (counts) {
      counted.push_back(arrival.at_);
    }
  }
  std::sort(counted.begin(), counted.end());
  return counted;
}

} // namespace

auto FindExceededLimits(const SoakEvidence& aEvidence)
  -> std::vector<std::string>
{
  Calls calls;
  for (const auto& call : aEvidence.calls_) {
    calls[call.id_] = &call;
  }
  std::vector<std::string> violations;
  for (const auto& limit : aEvidence.limits_) {
    std::deque<TimePoint> window;
    std::size_t highest = 0;
    for (const auto at : CountedArrivals(aEvidence, calls, limit)) {
      window.push_back(at);
      while (at - window.front() >= kWindow) {
        window.pop_front();
      }
      highest = std::max(highest, window.size());
    }
    if (highest > Allowed(limit.perSecond_)) {
      violations.push_back("limit: " + limit.engine_ + " had named " +
                           std::to_string(limit.perSecond_) +
                           " a second and got " + std::to_string(highest) +
                           " requests in 4 s; allowed " +
                           std::to_string(Allowed(limit.perSecond_)));
    }
  }
  return violations;
}

} // namespace soak

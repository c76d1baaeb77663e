#include "PoisonCheck.h"

#include <algorithm>
#include <unordered_map>

namespace soak {

namespace {

constexpr std::size_t kCrashes = 3;
constexpr std::size_t kMaxLaterSends = 3;

using PoisonCalls = std::unordered_map<std::string, const CallRecord*>;

/** When engines crashed during each poison request, by its body. */
auto CrashesByBody(const SoakEvidence& aEvidence, const PoisonCalls& aPoisons)
  -> std::map<std::string, std::vector<TimePoint>>
{
  std::map<std::string, std::vector<TimePoint>> byBody;
  for (const auto& [engine, crashes] : aEvidence.crashes_) {
    for (const auto& end : crashes) {
      std::set<std::string> bodies;
      for (const auto& id : end.requestIds_) {
        const auto call = aPoisons.find(id);
        if (call != aPoisons.end()) {
          bodies.insert(call->second->poison_);
        }
      }
      for (const auto& body : bodies) {
        byBody[body].push_back(end.at_);
      }
    }
  }
  return byBody;
}

auto SendsInContact(const SoakEvidence& aEvidence, const PoisonCalls& aPoisons,
                    const std::string& aBody, TimePoint aAfter) -> std::size_t
{
  std::size_t sends = 0;
  for (const auto& [engine, arrivals] : aEvidence.arrivals_) {
    for (const auto& arrival : arrivals) {
      const auto call = aPoisons.find(arrival.requestId_);
      const auto counts =
        call != aPoisons.end() && call->second->poison_ == aBody &&
        arrival.at_ > aAfter &&
        aEvidence.WasInContact(call->second->host_, arrival.at_, arrival.at_);
      sends += counts ? 1 : 0;
    }
  }
  return sends;
}

} // namespace

auto FindExcessPoisonSends(const SoakEvidence& aEvidence)
  -> std::vector<std::string>
{
  PoisonCalls poisons;
  for (const auto& call : aEvidence.calls_) {
    if (!call.poison_.empty()) {
      poisons[call.id_] = &call;
    }
  }
  std::vector<std::string> violations;
  for (auto& [body, crashes] : CrashesByBody(aEvidence, poisons)) {
    if (crashes.size() < kCrashes) {
      continue;
    }
    std::sort(crashes.begin(), crashes.end());
    const auto sends = SendsInContact(aEvidence, poisons, body,
                                      crashes[kCrashes - 1] + kContactTime);
    if (sends > kMaxLaterSends) {
      violations.push_back(
        "budget: '" + body + "' was sent " + std::to_string(sends) +
        " times more after three engines had ended under it; " +
        std::to_string(crashes.size()) + " ended in all");
    }
  }
  return violations;
}

} // namespace soak

#include "PoisonCheck.h"

#include <algorithm>
#include <unordered_map>

namespace soak {

namespace {

constexpr std::size_t kEnds = 3;
constexpr std::size_t kMostLaterSends = 3;

using Poisons = std::unordered_map<std::string, const CallRecord*>;

/** When engines ended under each poison. */
auto EndsByBody(const SoakEvidence& aEvidence, const Poisons& aPoisons)
  -> std::map<std::string, std::vector<TimePoint>>
{
  std::map<std::string, std::vector<TimePoint>> byBody;
  for (const auto& [engine, ends] : aEvidence.ends_) {
    for (const auto& end : ends) {
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

auto SendsInTouch(const SoakEvidence& aEvidence, const Poisons& aPoisons,
                  const std::string& aBody, TimePoint aAfter) -> std::size_t
{
  std::size_t sends = 0;
  for (const auto& [engine, arrivals] : aEvidence.arrivals_) {
    for (const auto& arrival : arrivals) {
      const auto call = aPoisons.find(arrival.requestId_);
      const auto counts =
        call != aPoisons.end() && call->second->poison_ == aBody &&
        arrival.at_ > aAfter &&
        aEvidence.InTouch(call->second->host_, arrival.at_, arrival.at_);
      sends += counts ? 1 : 0;
    }
  }
  return sends;
}

} // namespace

auto FindPoisonsSent(const SoakEvidence& aEvidence) -> std::vector<std::string>
{
  Poisons poisons;
  for (const auto& call : aEvidence.calls_) {
    if (!call.poison_.empty()) {
      poisons[call.id_] = &call;
    }
  }
  std::vector<std::string> broken;
  for (auto& [body, ends] : EndsByBody(aEvidence, poisons)) {
    if (ends.size() < kEnds) {
      continue;
    }
    std::sort(ends.begin(), ends.end());
    const auto sends =
      SendsInTouch(aEvidence, poisons, body, ends[kEnds - 1] + kContact);
    if (sends > kMostLaterSends) {
      broken.push_back("budget: '" + body + "' was sent " +
                       std::to_string(sends) +
                       " times more after three engines had ended under it; " +
                       std::to_string(ends.size()) + " ended in all");
    }
  }
  return broken;
}

} // namespace soak

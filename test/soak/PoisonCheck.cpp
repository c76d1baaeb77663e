#include "PoisonCheck.h"

#include <algorithm>
#include <unordered_map>

namespace soak {

namespace {

/** Number of crashes after which late sends are counted. */
constexpr std::size_t kPoisonCrashes = 3;
constexpr std::size_t kPartCrashes = 5;
constexpr std::size_t kMaxLaterSends = 3;

/** Requests that crash engines, by their id, and what in them does so: the
 * body, or a part of the prompt. */
using CrashingCalls =
  std::unordered_map<std::string, std::pair<const CallRecord*, std::string>>;

/** When engines crashed, by the cause. */
auto CrashesByCause(const SoakEvidence& aEvidence, const CrashingCalls& aCalls)
  -> std::map<std::string, std::vector<TimePoint>>
{
  std::map<std::string, std::vector<TimePoint>> byCause;
  for (const auto& [engine, crashes] : aEvidence.crashes_) {
    for (const auto& end : crashes) {
      std::set<std::string> causes;
      for (const auto& id : end.requestIds_) {
        const auto call = aCalls.find(id);
        if (call != aCalls.end()) {
          causes.insert(call->second.second);
        }
      }
      for (const auto& cause : causes) {
        byCause[cause].push_back(end.at_);
      }
    }
  }
  return byCause;
}

auto SendsInContact(const SoakEvidence& aEvidence, const CrashingCalls& aCalls,
                    const std::string& aCause, TimePoint aAfter) -> std::size_t
{
  std::size_t sends = 0;
  for (const auto& [engine, arrivals] : aEvidence.arrivals_) {
    for (const auto& arrival : arrivals) {
      const auto call = aCalls.find(arrival.requestId_);
      const auto counts = call != aCalls.end() &&
                          call->second.second == aCause &&
                          arrival.at_ > aAfter &&
                          aEvidence.WasInContact(call->second.first->host_,
                                                 arrival.at_, arrival.at_);
      sends += counts ? 1 : 0;
    }
  }
  return sends;
}

/** Adds a line for each cause, read from the calls by aCauseOf, under which
 * requests were still sent after the fleet could know it. */
template<typename CauseOf>
auto FindExcess(const SoakEvidence& aEvidence, std::size_t aCrashes,
                CauseOf aCauseOf, std::vector<std::string>& aViolations) -> void
{
  CrashingCalls calls;
  for (const auto& call : aEvidence.calls_) {
    if (const auto cause = aCauseOf(call); !cause.empty()) {
      calls[call.id_] = { &call, cause };
    }
  }
  for (auto& [cause, crashes] : CrashesByCause(aEvidence, calls)) {
    if (crashes.size() < aCrashes) {
      continue;
    }
    std::sort(crashes.begin(), crashes.end());
    const auto sends = SendsInContact(aEvidence, calls, cause,
                                      crashes[aCrashes - 1] + kContactTime);
    if (sends > kMaxLaterSends) {
      aViolations.push_back("budget: '" + cause + "' was sent " +
                            std::to_string(sends) + " times more after " +
                            std::to_string(aCrashes) +
                            " engines had ended under it; " +
                            std::to_string(crashes.size()) + " ended in all");
    }
  }
}

} // namespace

auto FindExcessPoisonSends(const SoakEvidence& aEvidence)
  -> std::vector<std::string>
{
  std::vector<std::string> violations;
  FindExcess(
    aEvidence, kPoisonCrashes,
    [](const CallRecord& aCall) { return aCall.poison_; }, violations);
  FindExcess(
    aEvidence, kPartCrashes,
    [](const CallRecord& aCall) {
      return aCall.crashingPart_.empty() ? std::string()
                                         : "part " + aCall.crashingPart_;
    },
    violations);
  return violations;
}

} // namespace soak

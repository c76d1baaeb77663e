#include "SoakChecker.h"

#include "ChangeCheck.h"
#include "LimitCheck.h"
#include "PoisonCheck.h"
#include "ReturnCheck.h"
#include "StopCheck.h"

#include <algorithm>
#include <unordered_map>

namespace soak {

using namespace std::chrono_literals;

namespace {

// Bounds from the platform's documentation, as the deployments set them.
constexpr Duration kDrainInForce = 3000ms;
constexpr Duration kLateAfter = 500ms;
constexpr std::size_t kLostAllowed = 3;
constexpr std::size_t kLateAllowed = 8;

using Arrival = standins::EngineStandin::Arrival;

class Checker
{
public:
  explicit Checker(const SoakEvidence& aEvidence)
    : evidence_(aEvidence)
  {
    for (const auto& call : evidence_.calls_) {
      calls_[call.id_] = &call;
    }
    for (const auto& [engine, arrivals] : evidence_.arrivals_) {
      for (const auto& arrival : arrivals) {
        runs_[arrival.requestId_] += arrival.ran_ ? 1 : 0;
        lastEngine_[arrival.requestId_] = engine;
      }
    }
  }

  auto Check() -> std::vector<std::string>
  {
    for (const auto& call : evidence_.calls_) {
      CheckResponse(call);
      CheckConfiguration(call);
      CheckOutcome(call);
    }
    CheckArrivals();
    CheckDrains();
    CheckRetries();
    if (late_.size() >= kLateAllowed && late_.size() * 2 > pastDeadline_) {
      Add("late", std::to_string(late_.size()) + " of " +
                    std::to_string(pastDeadline_) +
                    " requests had no answer 500 ms after their deadline, "
                    "among them " +
                    late_.front());
    }
    for (const auto& [incarnation, lost] : lost_) {
      if (lost.size() > kLostAllowed) {
        Add("lost", "host life " + incarnation + " closed " +
                      std::to_string(lost.size()) +
                      " connections without the answer, among them that of " +
                      lost.front());
      }
    }
    return std::move(violations_);
  }

private:
  auto Add(const std::string& aRule, const std::string& aText) -> void
  {
    violations_.push_back(aRule + ": " + aText);
  }

  auto CheckResponse(const CallRecord& aCall) -> void
  {
    if (!aCall.violation_.empty()) {
      Add("mixed", aCall.id_ + ": " + aCall.violation_);
    }
    const auto ran = runs_.find(aCall.id_);
    const auto runs = ran == runs_.end() ? 0 : ran->second;
    if (aCall.kind_ == CallKind::Unsafe && runs > 1) {
      Add("twice", aCall.id_ + " ran " + std::to_string(runs) + " times");
    }
    const auto status = aCall.status_;
    const auto meansNotRun =
      status == 429 || status == 503 || status == 408 || status == 421;
    if (aCall.kind_ == CallKind::Unsafe && meansNotRun && runs > 0) {
      Add("refused",
          aCall.id_ + " was answered " + std::to_string(status) + " and ran");
    }
    const auto allowed = aCall.kind_ != CallKind::NewRoute &&
                         aCall.kind_ != CallKind::NewKey &&
                         aCall.kind_ != CallKind::OldKey;
    if (allowed && status >= 300 && status < 500 && !meansNotRun) {
      Add("denied", aCall.id_ + " was answered " + std::to_string(status));
    }
  }

  /** Rules CONFIG and DENIED of the platform's documentation. */
  auto CheckConfiguration(const CallRecord& aCall) -> void
  {
    const auto host =
      std::to_string(aCall.host_) + "/" + std::to_string(aCall.incarnation_);
    const auto old = aCall.status_ == 401 || aCall.status_ == 404;
    const auto isNew =
      aCall.kind_ == CallKind::NewRoute || aCall.kind_ == CallKind::NewKey;
    const auto inForce = aCall.sentAt_ > aCall.changedAt_ + kConfigInForce &&
                         evidence_.CouldReceiveChanges(
                           aCall.host_, aCall.changedAt_, aCall.endedAt_);
    if (isNew && old && inForce) {
      Add("config",
          aCall.id_ + " at host " + host + " was refused by an older version");
    }
    if (aCall.kind_ == CallKind::OldKey && inForce &&
        runs_.contains(aCall.id_) && runs_.at(aCall.id_) > 0) {
      Add("config", aCall.id_ + " at host " + host +
                      " ran with a key that was taken away");
    }
  }

  /** Records the request as late or lost if it ended after its deadline or its
   * response was incomplete. */
  auto CheckOutcome(const CallRecord& aCall) -> void
  {
    const auto deadline = aCall.sentAt_ + aCall.timeout_;
    const auto undisturbed = !evidence_.faultLog_.HasFault(
      { HostPart(aCall.host_), CallerLinkPart(aCall.host_) },
      aCall.sentAt_ - kContactTime, aCall.endedAt_);
    if (!undisturbed || aCall.abandoned_) {
      return;
    }
    if (aCall.endedAt_ > deadline) {
      ++pastDeadline_;
      if (aCall.endedAt_ > deadline + kLateAfter) {
        late_.push_back(aCall.id_);
      }
      return;
    }
    const auto cut = !aCall.complete_;
    const auto ran = lastEngine_.contains(aCall.id_);
    const auto engineHealthy =
      ran && !evidence_.faultLog_.HasFault(
               { EnginePart(lastEngine_.at(aCall.id_)) },
               aCall.sentAt_ - kContactTime, aCall.endedAt_);
    if (cut && engineHealthy) {
      lost_[std::to_string(aCall.host_) + "/" +
            std::to_string(aCall.incarnation_)]
        .push_back(aCall.id_);
    }
  }

  auto CheckArrivals() -> void
  {
    for (const auto& [engine, arrivals] : evidence_.arrivals_) {
      for (const auto& arrival : arrivals) {
        if (!calls_.contains(arrival.requestId_)) {
          Add("unasked",
              engine + " got " + arrival.requestId_ + ", which no caller sent");
        }
        if (arrival.workspace_ != "w1") {
          Add("unasked", engine + " got " + arrival.requestId_ +
                           " for workspace '" + arrival.workspace_ + "'");
        }
      }
    }
  }

  auto CheckDrains() -> void
  {
    for (const auto& drain : evidence_.drains_) {
      for (const auto& arrival : evidence_.arrivals_.at(drain.engine_)) {
        const auto call = calls_.find(arrival.requestId_);
        const auto late =
          arrival.at_ > drain.from_ + kDrainInForce && arrival.at_ < drain.to_;
        if (late && call != calls_.end() &&
            evidence_.CouldReceiveChanges(call->second->host_, drain.from_,
                                          arrival.at_) &&
            !evidence_.faultLog_.HasFault({ EnginePart(drain.engine_) },
                                          drain.from_ - kContactTime,
                                          arrival.at_)) {
          Add("drain", arrival.requestId_ + " reached " + drain.engine_ +
                         " after it had left");
        }
      }
    }
  }

  /** Checks the arrivals beyond the first of each request against the retry
   * budget, in any window. */
  auto CheckRetries() -> void
  {
    std::map<std::string, std::vector<TimePoint>> retries;
    std::map<std::string, std::vector<TimePoint>> firsts;
    std::map<std::string, std::vector<Arrival>> byRequest;
    for (const auto& [engine, arrivals] : evidence_.arrivals_) {
      const auto& service = evidence_.serviceOfEngine_.at(engine);
      for (const auto& arrival : arrivals) {
        byRequest[service + " " + arrival.requestId_].push_back(arrival);
      }
    }
    for (auto& [key, arrivals] : byRequest) {
      const auto service = key.substr(0, key.find(' '));
      std::sort(arrivals.begin(), arrivals.end(),
                [](const auto& aLeft, const auto& aRight) {
                  return aLeft.at_ < aRight.at_;
                });
      firsts[service].push_back(arrivals.front().at_);
      for (std::size_t i = 1; i < arrivals.size(); ++i) {
        retries[service].push_back(arrivals[i].at_);
      }
    }
    for (auto& [service, times] : retries) {
      std::sort(times.begin(), times.end());
      auto& requested = firsts[service];
      std::sort(requested.begin(), requested.end());
      CheckRetryWindows(service, times, requested);
    }
  }
  auto CheckRetryWindows(const std::string& aService,
                         const std::vector<TimePoint>& aRetries,
                         const std::vector<TimePoint>& aRequested) -> void
  {
    const auto countWithin = [](const std::vector<TimePoint>& aTimes,
                                TimePoint aFrom) {
      return std::upper_bound(aTimes.begin(), aTimes.end(),
                              aFrom + SoakFleet::kRetryWindow) -
             std::lower_bound(aTimes.begin(), aTimes.end(), aFrom);
    };
    for (const auto from : aRetries) {
      const auto requested =
        std::max({ countWithin(aRequested, from),
                   countWithin(aRequested, from - SoakFleet::kRetryWindow / 2),
                   countWithin(aRequested, from - SoakFleet::kRetryWindow) });
      const auto maxRetries =
        SoakFleet::kRetryRatio * static_cast<double>(requested) +
        SoakFleet::kRetrySlack;
      const auto retries = countWithin(aRetries, from);
      if (static_cast<double>(retries) > maxRetries) {
        Add("budget", aService + " got " + std::to_string(retries) +
                        " repeats in a window, for " +
                        std::to_string(requested) + " requests");
        return;
      }
    }
  }

  const SoakEvidence& evidence_;
  std::unordered_map<std::string, const CallRecord*> calls_;
  std::unordered_map<std::string, int> runs_;
  std::unordered_map<std::string, std::string> lastEngine_;
  std::map<std::string, std::vector<std::string>> lost_;
  std::vector<std::string> late_;
  std::size_t pastDeadline_ = 0;
  std::vector<std::string> violations_;
};

} // namespace

auto FindViolations(const SoakEvidence& aEvidence) -> std::vector<std::string>
{
  auto violations = Checker(aEvidence).Check();
  for (auto& line : FindExcessPoisonSends(aEvidence)) {
    violations.push_back(std::move(line));
  }
  for (auto& line : FindLostNearChanges(aEvidence)) {
    violations.push_back(std::move(line));
  }
  for (auto& line : FindLostAtStops(aEvidence)) {
    violations.push_back(std::move(line));
  }
  for (auto& line : FindExceededLimits(aEvidence)) {
    violations.push_back(std::move(line));
  }
  for (auto& line : FindLateReturns(aEvidence)) {
    violations.push_back(std::move(line));
  }
  return violations;
}

} // namespace soak

#include "SoakChecker.h"

#include "ChangeCheck.h"
#include "LimitCheck.h"
#include "PoisonCheck.h"
#include "StopCheck.h"

#include <algorithm>
#include <unordered_map>

namespace soak {

using namespace std::chrono_literals;

namespace {

// Bounds of the platform's pages, as the deployments set them.
constexpr Duration kDrained = 3000ms;
constexpr Duration kLateAnswer = 500ms;
constexpr std::size_t kLostAllowed = 3;
constexpr std::size_t kLateAllowed = 8;

using Arrival = standins::EngineStandin::Arrival;

class Checker
{
public:
  explicit Checker(const SoakEvidence& aEvidence)
    : seen_(aEvidence)
  {
    for (const auto& call : seen_.calls_) {
      calls_[call.id_] = &call;
    }
    for (const auto& [engine, arrivals] : seen_.arrivals_) {
      for (const auto& arrival : arrivals) {
        runs_[arrival.requestId_] += arrival.ran_ ? 1 : 0;
        lastEngine_[arrival.requestId_] = engine;
      }
    }
  }

  auto Check() -> std::vector<std::string>
  {
    for (const auto& call : seen_.calls_) {
      CheckAnswer(call);
      CheckConfiguration(call);
      CheckEnd(call);
    }
    CheckArrivals();
    CheckDrains();
    CheckRepeats();
    if (late_.size() >= kLateAllowed && late_.size() * 2 > unanswered_) {
      Add("late", std::to_string(late_.size()) + " of " +
                    std::to_string(unanswered_) +
                    " requests had no answer 500 ms after their deadline, "
                    "among them " +
                    late_.front());
    }
    for (const auto& [life, lost] : lost_) {
      if (lost.size() > kLostAllowed) {
        Add("lost", "host life " + life + " closed " +
                      std::to_string(lost.size()) +
                      " connections without the answer, among them that of " +
                      lost.front());
      }
    }
    return std::move(broken_);
  }

private:
  auto Add(const std::string& aRule, const std::string& aText) -> void
  {
    broken_.push_back(aRule + ": " + aText);
  }

  auto CheckAnswer(const CallRecord& aCall) -> void
  {
    if (!aCall.problem_.empty()) {
      Add("mixed", aCall.id_ + ": " + aCall.problem_);
    }
    const auto ran = runs_.find(aCall.id_);
    const auto runs = ran == runs_.end() ? 0 : ran->second;
    if (aCall.kind_ == CallKind::Unsafe && runs > 1) {
      Add("twice", aCall.id_ + " ran " + std::to_string(runs) + " times");
    }
    const auto says = aCall.status_;
    const auto saysUnrun =
      says == 429 || says == 503 || says == 408 || says == 421;
    if (aCall.kind_ == CallKind::Unsafe && saysUnrun && runs > 0) {
      Add("refused",
          aCall.id_ + " was answered " + std::to_string(says) + " and ran");
    }
    const auto allowed = aCall.kind_ != CallKind::NewRoute &&
                         aCall.kind_ != CallKind::NewKey &&
                         aCall.kind_ != CallKind::OldKey;
    if (allowed && says >= 300 && says < 500 && !saysUnrun) {
      Add("denied", aCall.id_ + " was answered " + std::to_string(says));
    }
  }

  /** CONFIG and DENIED of the platform's pages. */
  auto CheckConfiguration(const CallRecord& aCall) -> void
  {
    const auto host =
      std::to_string(aCall.host_) + "/" + std::to_string(aCall.life_);
    const auto old = aCall.status_ == 401 || aCall.status_ == 404;
    const auto isNew =
      aCall.kind_ == CallKind::NewRoute || aCall.kind_ == CallKind::NewKey;
    const auto inForce =
      aCall.sentAt_ > aCall.changedAt_ + kConfigInForce &&
      seen_.CouldKnow(aCall.host_, aCall.changedAt_, aCall.endedAt_);
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

  /** Whether the request was answered in time, and not cut. */
  auto CheckEnd(const CallRecord& aCall) -> void
  {
    const auto deadline = aCall.sentAt_ + aCall.timeLeft_;
    const auto untouched = !seen_.harm_.Within(
      { HostPart(aCall.host_), CallerLinkPart(aCall.host_) },
      aCall.sentAt_ - kContact, aCall.endedAt_);
    if (!untouched || aCall.gaveUp_) {
      return;
    }
    if (aCall.endedAt_ > deadline) {
      ++unanswered_;
      if (aCall.endedAt_ > deadline + kLateAnswer) {
        late_.push_back(aCall.id_);
      }
      return;
    }
    const auto cut = !aCall.whole_;
    const auto ran = lastEngine_.contains(aCall.id_);
    const auto engineSound =
      ran && !seen_.harm_.Within({ EnginePart(lastEngine_.at(aCall.id_)) },
                                 aCall.sentAt_ - kContact, aCall.endedAt_);
    if (cut && engineSound) {
      lost_[std::to_string(aCall.host_) + "/" + std::to_string(aCall.life_)]
        .push_back(aCall.id_);
    }
  }

  auto CheckArrivals() -> void
  {
    for (const auto& [engine, arrivals] : seen_.arrivals_) {
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
    for (const auto& drain : seen_.drains_) {
      for (const auto& arrival : seen_.arrivals_.at(drain.engine_)) {
        const auto call = calls_.find(arrival.requestId_);
        const auto late =
          arrival.at_ > drain.from_ + kDrained && arrival.at_ < drain.to_;
        if (late && call != calls_.end() &&
            seen_.CouldKnow(call->second->host_, drain.from_, arrival.at_) &&
            !seen_.harm_.Within({ EnginePart(drain.engine_) },
                                drain.from_ - kContact, arrival.at_)) {
          Add("drain", arrival.requestId_ + " reached " + drain.engine_ +
                         " after it had left");
        }
      }
    }
  }

  /** Arrivals beyond the first of each request, in any window. */
  auto CheckRepeats() -> void
  {
    std::map<std::string, std::vector<TimePoint>> repeats;
    std::map<std::string, std::vector<TimePoint>> firsts;
    std::map<std::string, std::vector<Arrival>> byRequest;
    for (const auto& [engine, arrivals] : seen_.arrivals_) {
      const auto& service = seen_.serviceOfEngine_.at(engine);
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
        repeats[service].push_back(arrivals[i].at_);
      }
    }
    for (auto& [service, times] : repeats) {
      std::sort(times.begin(), times.end());
      auto& asked = firsts[service];
      std::sort(asked.begin(), asked.end());
      CheckWindows(service, times, asked);
    }
  }
  auto CheckWindows(const std::string& aService,
                    const std::vector<TimePoint>& aRepeats,
                    const std::vector<TimePoint>& aAsked) -> void
  {
    const auto within = [](const std::vector<TimePoint>& aTimes,
                           TimePoint aFrom) {
      return std::upper_bound(aTimes.begin(), aTimes.end(),
                              aFrom + SoakFleet::kRepeatWindow) -
             std::lower_bound(aTimes.begin(), aTimes.end(), aFrom);
    };
    for (const auto from : aRepeats) {
      const auto asked =
        std::max({ within(aAsked, from),
                   within(aAsked, from - SoakFleet::kRepeatWindow / 2),
                   within(aAsked, from - SoakFleet::kRepeatWindow) });
      const auto most = SoakFleet::kRepeatRatio * static_cast<double>(asked) +
                        SoakFleet::kRepeatSlack;
      const auto repeats = within(aRepeats, from);
      if (static_cast<double>(repeats) > most) {
        Add("budget", aService + " got " + std::to_string(repeats) +
                        " repeats in a window, for " + std::to_string(asked) +
                        " requests");
        return;
      }
    }
  }

  const SoakEvidence& seen_;
  std::unordered_map<std::string, const CallRecord*> calls_;
  std::unordered_map<std::string, int> runs_;
  std::unordered_map<std::string, std::string> lastEngine_;
  std::map<std::string, std::vector<std::string>> lost_;
  std::vector<std::string> late_;
  std::size_t unanswered_ = 0;
  std::vector<std::string> broken_;
};

} // namespace

auto FindBrokenPromises(const SoakEvidence& aEvidence)
  -> std::vector<std::string>
{
  auto broken = Checker(aEvidence).Check();
  for (auto& line : FindPoisonsSent(aEvidence)) {
    broken.push_back(std::move(line));
  }
  for (auto& line : FindLostBesideChanges(aEvidence)) {
    broken.push_back(std::move(line));
  }
  for (auto& line : FindLostAtStops(aEvidence)) {
    broken.push_back(std::move(line));
  }
  for (auto& line : FindLimitsPassed(aEvidence)) {
    broken.push_back(std::move(line));
  }
  return broken;
}

} // namespace soak

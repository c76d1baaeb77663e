#include "StopCheck.h"

#include <algorithm>

namespace soak {

using namespace std::chrono_literals;

namespace {

// Rule LOST of the platform's pages.
constexpr Duration kAfterGrace = 1s;
constexpr Duration kLossSlack = 200ms;
/** Requests that are sent later than this after SIGTERM have no excuse. */
constexpr Duration kExcusedFor = 3s;
constexpr auto kLastPart = 6;

struct Run
{
  std::string engine_;
  standins::EngineStandin::Arrival arrival_;
};

/** A request, the stop that it met, and its runs. */
struct Meeting
{
  const CallRecord& call_;
  const StopRecord& stop_;
  const std::vector<Run>& runs_;
};

auto IsCalm(const SoakEvidence& aEvidence, const CallRecord& aCall) -> bool
{
  std::vector<std::string> parts{ HostPart(aCall.host_),
                                  CallerLinkPart(aCall.host_) };
  if (aCall.kind_ == CallKind::Stream) {
    // Trouble of the store excuses nothing for the others.
    parts.insert(parts.end(),
                 { StoreLinkPart(aCall.host_), StoreDoorPart(aCall.host_),
                   std::string(kStorePart) });
  }
  return !aEvidence.harm_.Within(parts, aCall.sentAt_ - kContact,
                                 aCall.endedAt_);
}

/** Whether the engines broke off all runs that could still give an answer. */
auto HasBrokenOff(const SoakEvidence& aEvidence, const Meeting& aMeeting)
  -> bool
{
  auto last = TimePoint::min();
  for (const auto& run : aMeeting.runs_) {
    last = std::max(last, run.arrival_.at_);
  }
  auto brokenOff = false;
  for (const auto& [engine, arrival] : aMeeting.runs_) {
    // What was done before another engine was asked was no answer to pass on.
    if (!arrival.ran_ || arrival.doneAt_ <= last) {
      continue;
    }
    if (!aEvidence.harm_.Within({ BreakPart(engine) }, arrival.at_,
                                aMeeting.call_.endedAt_)) {
      return false;
    }
    brokenOff = true;
  }
  return brokenOff;
}

auto IsAtWorkAtTheEnd(const Meeting& aMeeting) -> bool
{
  const auto& stop = aMeeting.stop_;
  const auto last = stop.at_ + stop.grace_ - stop.grace_ / kLastPart;
  return aMeeting.call_.sentAt_ <= stop.at_ + kExcusedFor &&
         aMeeting.call_.endedAt_ >= last &&
         std::any_of(
           aMeeting.runs_.begin(), aMeeting.runs_.end(), [&](const Run& aRun) {
             return aRun.arrival_.ran_ && aRun.arrival_.doneAt_ >= last;
           });
}

auto IsLost(const Meeting& aMeeting) -> bool
{
  const auto& call = aMeeting.call_;
  const auto took = call.endedAt_ - call.sentAt_;
  return !call.whole_ && !call.gaveUp_ && took < call.timeLeft_ &&
         (!aMeeting.runs_.empty() || took > kLossSlack);
}

/** Calls aUse with each request that met a stop in calm. */
template<typename Use>
auto ForEachMeeting(const SoakEvidence& aEvidence, Use aUse) -> void
{
  std::map<std::string, std::vector<Run>> runs;
  for (const auto& [engine, arrivals] : aEvidence.arrivals_) {
    for (const auto& arrival : arrivals) {
      runs[arrival.requestId_].push_back({ engine, arrival });
    }
  }
  for (const auto& call : aEvidence.calls_) {
    for (const auto& stop : aEvidence.stops_) {
      const auto met = call.host_ == stop.host_ && call.life_ == stop.life_ &&
                       call.endedAt_ >= stop.at_ &&
                       call.sentAt_ <= stop.endedAt_ &&
                       call.endedAt_ <= stop.at_ + stop.grace_ + kAfterGrace;
      if (met && IsCalm(aEvidence, call)) {
        aUse(Meeting{ call, stop, runs[call.id_] });
      }
    }
  }
}

auto Milliseconds(Duration aTime) -> std::string
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

auto Describe(const Meeting& aMeeting) -> std::string
{
  const auto& call = aMeeting.call_;
  const auto at = aMeeting.stop_.at_;
  std::string text =
    "host " + std::to_string(call.host_) + "/" + std::to_string(call.life_) +
    " was told to stop in calm and left " + call.id_ +
    " without a complete answer: sent " + Milliseconds(call.sentAt_ - at) +
    " ms after SIGTERM, ended at " + Milliseconds(call.endedAt_ - at) +
    " ms, status " + std::to_string(call.status_);
  for (const auto& [engine, arrival] : aMeeting.runs_) {
    text += ", at " + engine + " from " + Milliseconds(arrival.at_ - at) +
            " ms" +
            (arrival.doneAt_ == TimePoint::max()
               ? ""
               : " to " + Milliseconds(arrival.doneAt_ - at) + " ms");
  }
  return text;
}

} // namespace

auto FindLostAtStops(const SoakEvidence& aEvidence) -> std::vector<std::string>
{
  std::vector<std::string> broken;
  ForEachMeeting(aEvidence, [&](const Meeting& aMeeting) {
    if (IsLost(aMeeting) && !HasBrokenOff(aEvidence, aMeeting) &&
        !IsAtWorkAtTheEnd(aMeeting)) {
      broken.push_back("lost: " + Describe(aMeeting));
    }
  });
  return broken;
}

auto TellOfStops(const SoakEvidence& aEvidence) -> std::string
{
  auto met = 0;
  auto excused = 0;
  auto late = 0;
  ForEachMeeting(aEvidence, [&](const Meeting& aMeeting) {
    const auto& call = aMeeting.call_;
    ++met;
    excused += IsLost(aMeeting) && (HasBrokenOff(aEvidence, aMeeting) ||
                                    IsAtWorkAtTheEnd(aMeeting))
                 ? 1
                 : 0;
    late += call.kind_ == CallKind::Unsafe && call.status_ == 502 &&
                call.sentAt_ > aMeeting.stop_.at_ + kExcusedFor
              ? 1
              : 0;
  });
  auto text = "stops in calm: " + std::to_string(met) + " requests, " +
              std::to_string(excused) + " excused without a whole answer, " +
              std::to_string(late) +
              " unsafe ones sent later than 3 s after SIGTERM got 502";
  if (!aEvidence.stops_.empty()) {
    const auto& last = aEvidence.stops_.back();
    text += "; the last host ended after " +
            Milliseconds(last.endedAt_ - last.at_) + " ms";
  }
  return text;
}

} // namespace soak

#include "StopCheck.h"

#include <algorithm>

namespace soak {

using namespace std::chrono_literals;

namespace {

// Rule LOST of the platform's documentation.
constexpr Duration kAfterGrace = 1s;
constexpr Duration kLossSlack = 200ms;
/** Requests that are sent later than this after SIGTERM are not excused. */
constexpr Duration kExcusedFor = 3s;
constexpr auto kLastFraction = 6;

struct Run
{
  std::string engine_;
  standins::EngineStandin::Arrival arrival_;
};

/** A request that overlapped a stop of its host, and its runs. */
struct AffectedCall
{
  const CallRecord& call_;
  const StopRecord& stop_;
  const std::vector<Run>& runs_;
};

auto IsUndisturbed(const SoakEvidence& aEvidence, const CallRecord& aCall)
  -> bool
{
  std::vector<std::string> parts{ HostPart(aCall.host_),
                                  CallerLinkPart(aCall.host_) };
  if (aCall.kind_ == CallKind::Stream) {
    // Faults of the store excuse lost streams only.
    parts.insert(parts.end(),
                 { StoreLinkPart(aCall.host_), StoreDoorPart(aCall.host_),
                   std::string(kStorePart) });
  }
  return !aEvidence.faultLog_.HasFault(parts, aCall.sentAt_ - kContactTime,
                                       aCall.endedAt_);
}

/** Whether the engines aborted all runs that could still give a response. */
auto AllRunsAborted(const SoakEvidence& aEvidence,
                    const AffectedCall& aAffected) -> bool
{
  auto last = TimePoint::min();
  for (const auto& run : aAffected.runs_) {
    last = std::max(last, run.arrival_.at_);
  }
  auto aborted = false;
  for (const auto& [engine, arrival] : aAffected.runs_) {
    // A run that ended before the last engine was called gave no response to
    // forward.
    if (!arrival.ran_ || arrival.doneAt_ <= last) {
      continue;
    }
    if (!aEvidence.faultLog_.HasFault({ BreakPart(engine) }, arrival.at_,
                                      aAffected.call_.endedAt_)) {
      return false;
    }
    aborted = true;
  }
  return aborted;
}

auto WasRunningAtGraceEnd(const AffectedCall& aAffected) -> bool
{
  const auto& stop = aAffected.stop_;
  const auto last = stop.at_ + stop.grace_ - stop.grace_ / kLastFraction;
  return aAffected.call_.sentAt_ <= stop.at_ + kExcusedFor &&
         aAffected.call_.endedAt_ >= last &&
         std::any_of(aAffected.runs_.begin(), aAffected.runs_.end(),
                     [&](const Run& aRun) {
                       return aRun.arrival_.ran_ &&
                              aRun.arrival_.doneAt_ >= last;
                     });
}

auto IsLost(const AffectedCall& aAffected) -> bool
{
  const auto& call = aAffected.call_;
  const auto took = call.endedAt_ - call.sentAt_;
  return !call.complete_ && !call.abandoned_ && took < call.timeout_ &&
         (!aAffected.runs_.empty() || took > kLossSlack);
}

/** Calls aUse with each request that overlapped an undisturbed stop. */
template<typename Use>
auto ForEachAffectedCall(const SoakEvidence& aEvidence, Use aUse) -> void
{
  std::map<std::string, std::vector<Run>> runs;
  for (const auto& [engine, arrivals] : aEvidence.arrivals_) {
    for (const auto& arrival : arrivals) {
      runs[arrival.requestId_].push_back({ engine, arrival });
    }
  }
  for (const auto& call : aEvidence.calls_) {
    for (const auto& stop : aEvidence.stops_) {
      const auto affected =
        call.host_ == stop.host_ && call.incarnation_ == stop.incarnation_ &&
        call.endedAt_ >= stop.at_ && call.sentAt_ <= stop.endedAt_ &&
        call.endedAt_ <= stop.at_ + stop.grace_ + kAfterGrace;
      if (affected && IsUndisturbed(aEvidence, call)) {
        aUse(AffectedCall{ call, stop, runs[call.id_] });
      }
    }
  }
}

auto Milliseconds(Duration aTime) -> std::string
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

auto Describe(const AffectedCall& aAffected) -> std::string
{
  const auto& call = aAffected.call_;
  const auto at = aAffected.stop_.at_;
  std::string text =
    "host " + std::to_string(call.host_) + "/" +
    std::to_string(call.incarnation_) + " was told to stop in calm and left " +
    call.id_ + " without a complete answer: sent " +
    Milliseconds(call.sentAt_ - at) + " ms after SIGTERM, ended at " +
    Milliseconds(call.endedAt_ - at) + " ms, status " +
    std::to_string(call.status_);
  for (const auto& [engine, arrival] : aAffected.runs_) {
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
  std::vector<std::string> violations;
  ForEachAffectedCall(aEvidence, [&](const AffectedCall& aAffected) {
    if (IsLost(aAffected) && !AllRunsAborted(aEvidence, aAffected) &&
        !WasRunningAtGraceEnd(aAffected)) {
      violations.push_back("lost: " + Describe(aAffected));
    }
  });
  return violations;
}

auto SummariseStops(const SoakEvidence& aEvidence) -> std::string
{
  auto affected = 0;
  auto excused = 0;
  auto late = 0;
  ForEachAffectedCall(aEvidence, [&](const AffectedCall& aAffected) {
    const auto& call = aAffected.call_;
    ++affected;
    excused += IsLost(aAffected) && (AllRunsAborted(aEvidence, aAffected) ||
                                     WasRunningAtGraceEnd(aAffected))
                 ? 1
                 : 0;
    late += call.kind_ == CallKind::Unsafe && call.status_ == 502 &&
                call.sentAt_ > aAffected.stop_.at_ + kExcusedFor
              ? 1
              : 0;
  });
  auto text = "stops in calm: " + std::to_string(affected) + " requests, " +
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

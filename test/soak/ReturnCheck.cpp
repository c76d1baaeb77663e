#include "ReturnCheck.h"

#include <algorithm>

namespace soak {

using namespace std::chrono_literals;

namespace {

/** Stated target for the return of service. */
constexpr Duration kReturnWithin = 3s;
/** Smallest time after an outage; its own faults end with it. */
constexpr Duration kJustAfter = 1us;

/** What the callers of one host saw in the time it has for its return. */
struct Return
{
  const OutageRecord& outage_;
  std::size_t host_ = 0;
  std::size_t requests_ = 0;
  std::map<int, std::size_t> byStatus_{};
  std::optional<Duration> servedAfter_{};
  bool excused_ = false;

  [[nodiscard]] auto IsLate() const -> bool
  {
    return requests_ > 0 && !servedAfter_ && !excused_;
  }
};

auto IsSound(const CallRecord& aCall) -> bool
{
  return !aCall.abandoned_ && aCall.kind_ != CallKind::OldKey &&
         aCall.kind_ != CallKind::Poison &&
         aCall.kind_ != CallKind::CrashingPart;
}

/** Whether the engine could serve any request for the whole time span. */
auto IsUsable(const SoakEvidence& aEvidence, const std::string& aEngine,
              TimePoint aFrom, TimePoint aTo) -> bool
{
  const auto overlaps = [&](const auto& aRecord) {
    return aRecord.engine_ == aEngine && aRecord.from_ <= aTo &&
           aRecord.to_ >= aFrom;
  };
  return !aEvidence.faultLog_.HasFault({ EnginePart(aEngine) }, aFrom, aTo) &&
         std::none_of(aEvidence.limits_.begin(), aEvidence.limits_.end(),
                      overlaps) &&
         std::none_of(aEvidence.drains_.begin(), aEvidence.drains_.end(),
                      overlaps);
}

/** Whether other faults excuse a host that does not serve after the outage. */
auto IsExcused(const SoakEvidence& aEvidence, const OutageRecord& aOutage,
               std::size_t aHost) -> bool
{
  const auto from = aOutage.endedAt_ + kJustAfter;
  const auto to = aOutage.endedAt_ + kReturnWithin;
  if (aEvidence.faultLog_.HasFault(
        { HostPart(aHost), StopPart(aHost), CallerLinkPart(aHost),
          StoreLinkPart(aHost), StoreDoorPart(aHost), kStorePart },
        from, to)) {
    return true;
  }
  return std::none_of(aEvidence.serviceOfEngine_.begin(),
                      aEvidence.serviceOfEngine_.end(),
                      [&](const auto& aEntry) {
                        const auto& [engine, service] = aEntry;
                        // Callers have no route of their own to the services of
                        // stages.
                        return (service == "desk" || service == "model") &&
                               IsUsable(aEvidence, engine, from, to);
                      });
}

auto ObserveReturn(const SoakEvidence& aEvidence, const OutageRecord& aOutage,
                   std::size_t aHost) -> Return
{
  Return seen{ .outage_ = aOutage, .host_ = aHost };
  const auto until = aOutage.endedAt_ + kReturnWithin;
  for (const auto& call : aEvidence.calls_) {
    if (call.host_ != aHost || !IsSound(call) ||
        call.sentAt_ < aOutage.endedAt_ || call.sentAt_ > until) {
      continue;
    }
    ++seen.requests_;
    ++seen.byStatus_[call.status_];
    if (call.IsServed() && call.violation_.empty() && call.endedAt_ <= until) {
      const auto after = call.endedAt_ - aOutage.endedAt_;
      seen.servedAfter_ = std::min(seen.servedAfter_.value_or(after), after);
    }
  }
  seen.excused_ = IsExcused(aEvidence, aOutage, aHost);
  return seen;
}

auto ObserveReturns(const SoakEvidence& aEvidence) -> std::vector<Return>
{
  std::vector<Return> returns;
  for (const auto& outage : aEvidence.outages_) {
    for (std::size_t host = 0; host < aEvidence.hosts_; ++host) {
      returns.push_back(ObserveReturn(aEvidence, outage, host));
    }
  }
  return returns;
}

} // namespace

auto FindLateReturns(const SoakEvidence& aEvidence) -> std::vector<std::string>
{
  std::vector<std::string> violations;
  for (const auto& seen : ObserveReturns(aEvidence)) {
    if (!seen.IsLate()) {
      continue;
    }
    auto text = "return: host " + std::to_string(seen.host_) +
                " served none of " + std::to_string(seen.requests_) +
                " requests within 3 s after " + seen.outage_.kind_ +
                "; by status";
    for (const auto& [status, count] : seen.byStatus_) {
      text += " " + std::to_string(status) + ": " + std::to_string(count);
    }
    violations.push_back(std::move(text));
  }
  return violations;
}

auto SummariseReturns(const SoakEvidence& aEvidence) -> std::string
{
  std::size_t served = 0;
  std::size_t late = 0;
  std::size_t excused = 0;
  std::size_t idle = 0;
  Duration longest{};
  for (const auto& seen : ObserveReturns(aEvidence)) {
    if (seen.servedAfter_) {
      ++served;
      longest = std::max(longest, *seen.servedAfter_);
    } else if (seen.IsLate()) {
      ++late;
    } else {
      ++(seen.excused_ ? excused : idle);
    }
  }
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(longest).count();
  return "returns from " + std::to_string(aEvidence.outages_.size()) +
         " outages: " + std::to_string(served) +
         " hosts served in time, the last after " +
         std::to_string(milliseconds) + " ms; " + std::to_string(late) +
         " late, " + std::to_string(excused) + " excused, " +
         std::to_string(idle) + " without a request";
}

} // namespace soak

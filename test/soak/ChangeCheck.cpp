#include "ChangeCheck.h"

#include <algorithm>

namespace soak {

using namespace std::chrono_literals;

namespace {

/** A request counts as near a change up to this long after the change. */
constexpr Duration kChangeWindow = kConfigInForce + 1s;
/** A request that ends sooner and reached no engine may have crossed the host's
 * close of the connection. */
constexpr Duration kLossSlack = 200ms;
constexpr auto kMaxShareRatio = 3.0;
/** A request without a complete response counts only if it used at most this
 * fraction of its timeout. */
constexpr auto kMaxTimeUsed = 0.7;

/** Undisturbed requests of a host, and the ones lost among them. */
struct Tally
{
  double requests_ = 0.0;
  std::vector<std::string> lost_;

  [[nodiscard]] auto LostShare() const -> double
  {
    return requests_ > 0.0 ? static_cast<double>(lost_.size()) / requests_
                           : 0.0;
  }
};

auto IsNearChange(const SoakEvidence& aEvidence, const CallRecord& aCall)
  -> bool
{
  return std::any_of(
    aEvidence.changes_.begin(), aEvidence.changes_.end(), [&](TimePoint aAt) {
      return aAt <= aCall.endedAt_ && aCall.sentAt_ <= aAt + kChangeWindow;
    });
}

auto IsLost(const SoakEvidence& aEvidence, const CallRecord& aCall,
            const std::map<std::string, std::string>& aEngineOf) -> bool
{
  const auto took = aCall.endedAt_ - aCall.sentAt_;
  const auto used = static_cast<double>(took.count()) /
                    static_cast<double>(aCall.timeout_.count());
  if (aCall.complete_ || used > kMaxTimeUsed) {
    return false;
  }
  const auto engine = aEngineOf.find(aCall.id_);
  if (engine == aEngineOf.end()) {
    return took > kLossSlack;
  }
  return !aEvidence.faultLog_.HasFault({ EnginePart(engine->second) },
                                       aCall.sentAt_ - kContactTime,
                                       aCall.endedAt_);
}

} // namespace

auto FindLostNearChanges(const SoakEvidence& aEvidence)
  -> std::vector<std::string>
{
  std::map<std::string, std::string> engineOf;
  for (const auto& [engine, arrivals] : aEvidence.arrivals_) {
    for (const auto& arrival : arrivals) {
      engineOf[arrival.requestId_] = engine;
    }
  }
  std::map<std::size_t, Tally> nearChange;
  std::map<std::size_t, Tally> otherwise;
  for (const auto& call : aEvidence.calls_) {
    const auto disturbed = aEvidence.faultLog_.HasFault(
      { HostPart(call.host_), CallerLinkPart(call.host_),
        StoreLinkPart(call.host_), kStorePart },
      call.sentAt_ - kContactTime, call.endedAt_);
    if (disturbed || call.abandoned_) {
      continue;
    }
    auto& tally =
      (IsNearChange(aEvidence, call) ? nearChange : otherwise)[call.host_];
    tally.requests_ += 1.0;
    if (IsLost(aEvidence, call, engineOf)) {
      tally.lost_.push_back(call.id_);
    }
  }
  std::vector<std::string> violations;
  for (const auto& [host, tally] : nearChange) {
    if (tally.LostShare() > kMaxShareRatio * otherwise[host].LostShare()) {
      violations.push_back(
        "lost: host " + std::to_string(host) + " left " +
        std::to_string(tally.lost_.size()) +
        " whole requests without an answer beside a change of "
        "the configuration, among them " +
        tally.lost_.front());
    }
  }
  return violations;
}

} // namespace soak

#include "ChangeCheck.h"

#include <algorithm>

namespace soak {

using namespace std::chrono_literals;

namespace {

/** A request counts as beside a change until this long after it. */
constexpr Duration kBeside = kConfigInForce + 1s;
/** One that ends sooner, without a run, may have crossed the host's close. */
constexpr Duration kLossSlack = 200ms;
constexpr auto kTimesAsOften = 3.0;
/** Part of its time after which a request that is cut does not count. */
constexpr auto kMostTimeUsed = 0.7;

/** Requests of a host that nothing disturbed, and those of them lost. */
struct Tally
{
  double asked_ = 0.0;
  std::vector<std::string> lost_;

  [[nodiscard]] auto Share() const -> double
  {
    return asked_ > 0.0 ? static_cast<double>(lost_.size()) / asked_ : 0.0;
  }
};

auto IsBesideChange(const SoakEvidence& aEvidence, const CallRecord& aCall)
  -> bool
{
  return std::any_of(
    aEvidence.changes_.begin(), aEvidence.changes_.end(), [&](TimePoint aAt) {
      return aAt <= aCall.endedAt_ && aCall.sentAt_ <= aAt + kBeside;
    });
}

auto IsLost(const SoakEvidence& aEvidence, const CallRecord& aCall,
            const std::map<std::string, std::string>& aEngineOf) -> bool
{
  const auto took = aCall.endedAt_ - aCall.sentAt_;
  const auto used = static_cast<double>(took.count()) /
                    static_cast<double>(aCall.timeLeft_.count());
  if (aCall.whole_ || used > kMostTimeUsed) {
    return false;
  }
  const auto engine = aEngineOf.find(aCall.id_);
  if (engine == aEngineOf.end()) {
    return took > kLossSlack;
  }
  return !aEvidence.harm_.Within({ EnginePart(engine->second) },
                                 aCall.sentAt_ - kContact, aCall.endedAt_);
}

} // namespace

auto FindLostBesideChanges(const SoakEvidence& aEvidence)
  -> std::vector<std::string>
{
  std::map<std::string, std::string> engineOf;
  for (const auto& [engine, arrivals] : aEvidence.arrivals_) {
    for (const auto& arrival : arrivals) {
      engineOf[arrival.requestId_] = engine;
    }
  }
  std::map<std::size_t, Tally> beside;
  std::map<std::size_t, Tally> otherwise;
  for (const auto& call : aEvidence.calls_) {
    const auto disturbed =
      aEvidence.harm_.Within({ HostPart(call.host_), CallerLinkPart(call.host_),
                               StoreLinkPart(call.host_), kStorePart },
                             call.sentAt_ - kContact, call.endedAt_);
    if (disturbed || call.gaveUp_) {
      continue;
    }
    auto& tally =
      (IsBesideChange(aEvidence, call) ? beside : otherwise)[call.host_];
    tally.asked_ += 1.0;
    if (IsLost(aEvidence, call, engineOf)) {
      tally.lost_.push_back(call.id_);
    }
  }
  std::vector<std::string> broken;
  for (const auto& [host, tally] : beside) {
    if (tally.Share() > kTimesAsOften * otherwise[host].Share()) {
      broken.push_back("lost: host " + std::to_string(host) + " left " +
                       std::to_string(tally.lost_.size()) +
                       " whole requests without an answer beside a change of "
                       "the configuration, among them " +
                       tally.lost_.front());
    }
  }
  return broken;
}

} // namespace soak

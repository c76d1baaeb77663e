#include "SoakPlan.h"

#include <algorithm>
#include <array>
#include <random>

namespace soak {

namespace {

using Kinds = std::vector<FaultKind>;

constexpr Millis kPhaseLength{ 8000 };
/** Mean time between faults of a phase. */
constexpr Millis kGap{ 700 };
constexpr Millis kPlannedGap{ 1500 };
constexpr Millis kOverlapGap{ 4000 };
constexpr Millis kLimitGap{ 2500 };
constexpr Millis kTurnAwayGap{ 12'000 };
constexpr Millis kRestoreGap{ 6000 };
constexpr std::uint64_t kSeedsPerRestore = 4;
constexpr Millis kUnframedGap{ 2000 };
constexpr std::uint64_t kSeedsPerUnframed = 2;
constexpr std::uint64_t kSeedsPerOutage = 5;
constexpr Millis kOutageGap{ 2000 };
constexpr Millis kMinOutage{ 1000 };
constexpr Millis kMaxOutage{ 30'000 };
/** The longest outage is this fraction of the run. */
constexpr Millis::rep kOutagesPerRun = 3;
/** No outage begins before the hosts had the time to return from the one
 * before. */
constexpr Millis kAfterOutage{ 4000 };
constexpr std::uint64_t kSeedsPerVersions = 10;
constexpr std::uint64_t kFirstOfVersions = 9;
constexpr Millis kLossGap{ 3000 };
constexpr Millis kMinLength{ 100 };
constexpr Millis kMaxLength{ 4000 };
constexpr std::size_t kVariants = 64;

const std::array<Kinds, 4> kFamilies = {
  Kinds{ FaultKind::HostPause, FaultKind::HostKill, FaultKind::HostStop,
         FaultKind::HostReload },
  Kinds{ FaultKind::EngineLink, FaultKind::EngineTrouble, FaultKind::EngineSlow,
         FaultKind::EngineRestart },
  Kinds{ FaultKind::StoreLink, FaultKind::StoreBusy,
         FaultKind::StoreLosesAnswers, FaultKind::StoreForgets },
  Kinds{ FaultKind::CallerLink }
};
const Kinds kPlanned = { FaultKind::EngineDrain, FaultKind::NewRoute,
                         FaultKind::KeyRevoked };

class Planner
{
public:
  Planner(std::uint64_t aSeed, std::size_t aHosts, std::size_t aEngines)
    : random_(aSeed)
    , hosts_(aHosts)
    , engines_(aEngines)
  {
  }

  auto Fill(Millis aFrom, Millis aTo, const Kinds& aKinds, Millis aGap) -> void
  {
    std::exponential_distribution<double> gap(
      1.0 / static_cast<double>(aGap.count()));
    auto at = aFrom;
    for (;;) {
      at += Millis(static_cast<Millis::rep>(gap(random_)));
      if (at >= aTo) {
        return;
      }
      faults_.push_back(Make(at, aTo, aKinds[Pick(aKinds.size())]));
    }
  }
  /** Adds signals to one host and a configuration change, all at one moment. */
  auto FillOverlaps(Millis aTo) -> void
  {
    std::exponential_distribution<double> gap(
      1.0 / static_cast<double>(kOverlapGap.count()));
    for (Millis at{ 0 };;) {
      at += Millis(static_cast<Millis::rep>(gap(random_)));
      if (at >= aTo) {
        return;
      }
      const auto host = Pick(hosts_);
      for (const auto kind :
           { FaultKind::HostReload, FaultKind::IdleTimeChanged,
             FaultKind::HostStop }) {
        faults_.push_back(Make(at, aTo, kind));
        faults_.back().target_ = host;
      }
    }
  }
  /** Adds outages of the platform or of all hosts, one after another; all hosts
   * also return in half of the platform's outages. */
  auto FillOutages(Millis aTo) -> void
  {
    constexpr std::array kKinds = { FaultKind::PlatformStands,
                                    FaultKind::PlatformAway,
                                    FaultKind::AllHostsReturn };
    std::exponential_distribution<double> gap(
      1.0 / static_cast<double>(kOutageGap.count()));
    std::uniform_int_distribution<Millis::rep> length(
      kMinOutage.count(),
      std::clamp(aTo / kOutagesPerRun, kMinOutage, kMaxOutage).count());
    for (Millis at{ 0 };;) {
      at += Millis(static_cast<Millis::rep>(gap(random_)));
      if (at + kMinOutage > aTo) {
        return;
      }
      auto outage = Make(at, aTo, kKinds.at(Pick(kKinds.size())));
      if (outage.kind_ != FaultKind::AllHostsReturn) {
        outage.for_ = std::min(Millis(length(random_)), aTo - at);
        const auto after = Pick(static_cast<std::size_t>(outage.for_.count()));
        const Millis then(static_cast<Millis::rep>(after));
        if (Pick(2) == 0) {
          faults_.push_back(Make(at + then, aTo, FaultKind::AllHostsReturn));
        }
      }
      faults_.push_back(outage);
      at += outage.for_ + kAfterOutage;
    }
  }
  auto Pick(std::size_t aCount) -> std::size_t
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(random_);
  }
  auto Take() -> std::vector<Fault>
  {
    std::sort(faults_.begin(), faults_.end());
    return std::move(faults_);
  }

private:
  auto Make(Millis aAt, Millis aTo, FaultKind aKind) -> Fault
  {
    std::uniform_int_distribution<Millis::rep> length(kMinLength.count(),
                                                      kMaxLength.count());
    const auto onEngine =
      aKind == FaultKind::EngineLink || aKind == FaultKind::EngineTrouble ||
      aKind == FaultKind::EngineSlow || aKind == FaultKind::EngineRestart ||
      aKind == FaultKind::EngineDrain || aKind == FaultKind::EngineLimited ||
      aKind == FaultKind::EngineUnframed;
    return { .at_ = aAt,
             .for_ = std::min(Millis(length(random_)), aTo - aAt),
             .kind_ = aKind,
             .target_ = Pick(onEngine ? engines_ : hosts_),
             .variant_ = Pick(kVariants) };
  }

  std::mt19937_64 random_;
  std::size_t hosts_;
  std::size_t engines_;
  std::vector<Fault> faults_;
};

} // namespace

auto ToString(FaultKind aKind) -> std::string
{
  constexpr std::array kNames = {
    "host_pause",          "host_kill",           "host_stop",
    "host_reload",         "engine_link",         "engine_trouble",
    "engine_slow",         "engine_restart",      "store_link",
    "store_busy",          "store_loses_answers", "store_forgets",
    "caller_link",         "engine_drain",        "new_route",
    "key_revoked",         "idle_time_changed",   "engine_limited",
    "store_turns_away",    "store_restored",      "engine_unframed",
    "platform_stands",     "platform_away",       "all_hosts_return",
    "hosts_lost_in_outage"
  };
  return kNames.at(static_cast<std::size_t>(aKind));
}

auto MakeSoakPlan(std::uint64_t aSeed, Millis aLength, std::size_t aHosts,
                  std::size_t aEngines) -> std::vector<Fault>
{
  Planner planner(aSeed, aHosts, aEngines);
  planner.Fill(Millis{ 0 }, aLength, kPlanned, kPlannedGap);
  for (Millis from{ 0 }; from < aLength; from += kPhaseLength) {
    const auto to = std::min(from + kPhaseLength, aLength);
    const auto first = planner.Pick(kFamilies.size());
    const auto second = planner.Pick(kFamilies.size());
    planner.Fill(from, to, kFamilies[first], kGap);
    planner.Fill(from, to, kFamilies[second], kGap);
  }
  // Kinds that were added later have generators of their own, so that the other
  // faults of a seed stay the same.
  Planner more(~aSeed, aHosts, aEngines);
  more.Fill(Millis{ 0 }, aLength, { FaultKind::IdleTimeChanged }, kPlannedGap);
  more.FillOverlaps(aLength);
  Planner limits(aSeed ^ (aSeed << 32U), aHosts, aEngines);
  limits.Fill(Millis{ 0 }, aLength, { FaultKind::EngineLimited }, kLimitGap);
  Planner doors(aSeed ^ (~aSeed << 32U), aHosts, aEngines);
  doors.Fill(Millis{ 0 }, aLength, { FaultKind::StoreTurnsAway }, kTurnAwayGap);
  auto faults = planner.Take();
  // A restore excuses what depends on the store for seconds, so that only some
  // seeds have any.
  Planner restores(aSeed ^ (aSeed << 16U), aHosts, aEngines);
  if (aSeed % kSeedsPerRestore == 0) {
    restores.Fill(Millis{ 0 }, aLength, { FaultKind::StoreRestored },
                  kRestoreGap);
  }
  Planner unframed(aSeed ^ (aSeed << 48U), aHosts, aEngines);
  if (aSeed % kSeedsPerUnframed == 0) {
    unframed.Fill(Millis{ 0 }, aLength, { FaultKind::EngineUnframed },
                  kUnframedGap);
  }
  // An outage excuses most of what callers see meanwhile.
  Planner outages(aSeed ^ (aSeed << 8U), aHosts, aEngines);
  if (aSeed % kSeedsPerOutage == 0) {
    outages.FillOutages(aLength);
  }
  Planner losses(aSeed ^ (aSeed << 24U), aHosts, aEngines);
  if (HasSeveralVersions(aSeed)) {
    losses.Fill(Millis{ 0 }, aLength, { FaultKind::HostsLostInOutage },
                kLossGap);
  }
  for (const auto& added :
       { more.Take(), limits.Take(), doors.Take(), restores.Take(),
         unframed.Take(), outages.Take(), losses.Take() }) {
    faults.insert(faults.end(), added.begin(), added.end());
  }
  std::sort(faults.begin(), faults.end());
  return faults;
}

auto HasSeveralVersions(std::uint64_t aSeed) -> bool
{
  return aSeed % kSeedsPerVersions == kFirstOfVersions;
}

auto MakeUndisturbedStop(std::uint64_t aSeed, std::size_t aHosts) -> Fault
{
  // SIGTERM is sent twice in a third of the seeds; the host is never killed.
  constexpr std::size_t kFirstForm = 1;
  constexpr std::size_t kForms = 3;
  constexpr Millis kUndisturbedBefore{ 4500 };
  return { .at_ = kUndisturbedBefore,
           .for_ = kMinLength,
           .kind_ = FaultKind::HostStop,
           .target_ = aSeed % aHosts,
           .variant_ = kFirstForm + aSeed / aHosts % kForms };
}

} // namespace soak

#include "../process/EntryFleet.h"
#include "../process/TempFolder.h"
#include "ForeignWriter.h"
#include "ReturnCheck.h"
#include "SoakChecker.h"
#include "SoakMeasurements.h"
#include "StopCheck.h"
#include "StreamFollower.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>

ABSL_FLAG(std::uint64_t, seed, 1, "picks faults and calls");
ABSL_FLAG(double, seconds, 20.0, "how long faults are brought about");
ABSL_FLAG(std::string, ip, "127.0.0.1",
          "loopback address of the run; another for each run at a time");
ABSL_FLAG(std::string, first_program, "",
          "program of the first process of each host: an older build");
ABSL_FLAG(std::size_t, hosts, 4, "entry hosts");
ABSL_FLAG(std::size_t, callers, 24, "callers, with one request each at a time");

namespace soak {

using namespace goldcrestcroft;
using namespace std::chrono_literals;

namespace {

/** All hosts must be ready again within this time after the last fault. */
constexpr Duration kRecover = 15s;
constexpr Duration kQuietPeriod = 3s;
/** Time for requests in flight at the end to complete. */
constexpr Duration kFinalResponses = 2s;
constexpr std::size_t kPoisonCallers = 3;
constexpr std::size_t kCrashingPartCallers = 1;
constexpr std::size_t kFollowers = 12;
constexpr std::size_t kSaturatingCallers = 12;
/** Delay of the saturating callers, short enough that the host has learned the
 * latency of their requests when it stops. */
constexpr Duration kSaturateAfter = 2s;
constexpr auto kPollInterval = std::chrono::milliseconds{ 200 };
/** Minimum ratio of the share served after the faults to the one before. */
constexpr auto kMinShareOfBefore = 0.9;
/** Maximum resident memory of a host, in MB. */
constexpr auto kMaxMegabytes = 64.0;

struct Shares
{
  double before_ = 0.0;
  double after_ = 0.0;
  bool allReady_ = false;
};

auto IsReady(SoakFleet& aFleet, std::size_t aHost) -> bool
{
  return testing::SendCall(aFleet.ReadinessAddress(aHost),
                           { .target_ = "/readyz" })
           .status_ == 200;
}

auto AwaitAllReady(asio::io_context& aContext, SoakFleet& aFleet) -> Task<bool>
{
  const auto until = SuspendAwareClock{}.Now() + kRecover;
  for (;;) {
    auto ready = true;
    for (std::size_t i = 0; i < aFleet.Hosts().size(); ++i) {
      ready = ready && IsReady(aFleet, i);
    }
    if (ready || SuspendAwareClock{}.Now() > until) {
      co_return ready;
    }
    co_await Sleep(aContext, kPollInterval);
  }
}

/** Stops one undisturbed host while callers saturate it until it has exited. */
auto RunUndisturbedStop(asio::io_context& aContext, SoakFleet& aFleet,
                        FaultInjector& aInjector,
                        std::vector<CallRecord>& aCalls,
                        std::vector<std::unique_ptr<SoakCaller>>& aCallers)
  -> Task<void>
{
  const auto seed = absl::GetFlag(FLAGS_seed);
  const auto stop = MakeUndisturbedStop(seed, aFleet.Hosts().size());
  aFleet.SetGrace(stop.target_, SoakFleet::kUndisturbedStopGrace);
  const auto first = aCallers.size();
  for (std::size_t i = 0; i < kSaturatingCallers; ++i) {
    aCallers.push_back(std::make_unique<SoakCaller>(
      aContext, aFleet, aInjector.Operator(), aCalls, seed * 1000 + first + i,
      CallerProfile::Saturates, stop.target_));
    asio::co_spawn(aContext, aCallers.back()->Run(kSaturateAfter),
                   asio::detached);
  }
  std::vector<Fault> plan{ stop };
  co_await aInjector.Run(std::move(plan));
  for (auto i = first; i < aCallers.size(); ++i) {
    aCallers[i]->Stop();
  }
}

/** Runs a quiet period, the faults, an undisturbed stop during the recovery,
 * and another quiet period. */
auto RunPhases(asio::io_context& aContext, SoakFleet& aFleet,
               FaultInjector& aInjector, std::vector<Fault> aPlan,
               std::vector<std::unique_ptr<SoakCaller>>& aCallers,
               std::vector<CallRecord>& aCalls, Shares& aShares) -> Task<void>
{
  co_await Sleep(aContext, kQuietPeriod);
  aShares.before_ = ShareServed(aCalls, 0);
  co_await aInjector.Run(std::move(aPlan));
  const auto recovery = SuspendAwareClock{}.Now() + kRecover;
  aShares.allReady_ = co_await AwaitAllReady(aContext, aFleet);
  co_await RunUndisturbedStop(aContext, aFleet, aInjector, aCalls, aCallers);
  const auto again = co_await AwaitAllReady(aContext, aFleet);
  aShares.allReady_ = aShares.allReady_ && again;
  co_await Sleep(aContext, recovery - SuspendAwareClock{}.Now());
  const auto from = aCalls.size();
  co_await Sleep(aContext, kQuietPeriod);
  aShares.after_ = ShareServed(aCalls, from);
  aInjector.Stop();
  for (const auto& caller : aCallers) {
    caller->Stop();
  }
  co_await Sleep(aContext, kFinalResponses);
  aContext.stop();
}

auto Evidence(SoakFleet& aFleet, const FaultInjector& aInjector,
              const std::vector<CallRecord>& aCalls) -> SoakEvidence
{
  SoakEvidence evidence{ .calls_ = aCalls,
                         .faultLog_ = aInjector.Faults(),
                         .drains_ = aInjector.Drains(),
                         .changes_ = aInjector.Changes(),
                         .limits_ = aInjector.Limits(),
                         .hosts_ = aFleet.Hosts().size(),
                         .stops_ = aInjector.Stops(),
                         .outages_ = aInjector.Outages() };
  for (const auto& engine : aFleet.Engines()) {
    evidence.arrivals_[engine.standin_->Id()] = engine.standin_->Arrivals();
    evidence.crashes_[engine.standin_->Id()] = engine.standin_->Crashes();
    evidence.serviceOfEngine_[engine.standin_->Id()] = engine.service_;
  }
  return evidence;
}

auto Summarise(const std::vector<CallRecord>& aCalls, const Shares& aShares,
               std::size_t aCrashes) -> void
{
  std::map<int, int> byStatus;
  for (const auto& call : aCalls) {
    ++byStatus[call.status_];
  }
  std::cout << aCalls.size() << " requests;";
  for (const auto& [status, count] : byStatus) {
    std::cout << " " << status << ": " << count;
  }
  std::cout << "; served before " << aShares.before_ << ", after "
            << aShares.after_ << "; " << aCrashes << " ends of engines"
            << std::endl;
}

auto ProfileOf(std::size_t aCaller) -> CallerProfile
{
  if (aCaller < kPoisonCallers) {
    return CallerProfile::SendsPoison;
  }
  if (aCaller >= absl::GetFlag(FLAGS_callers)) {
    return CallerProfile::SendsCrashingPart;
  }
  constexpr std::size_t kOneIn = 4;
  return aCaller % kOneIn == 0 ? CallerProfile::LongLived
                               : CallerProfile::Regular;
}

auto RunSoak() -> int
{
  const auto seed = absl::GetFlag(FLAGS_seed);
  testing::TempFolder folder;
  std::cout << "seed " << seed << ", logs in " << folder.Path() << std::endl;
  asio::io_context context;
  SoakFleet fleet(context,
                  { .program_ = std::string(BUILD_FOLDER) +
                                "/goldcrestcroft/goldcrestcroft-entry",
                    .firstProgram_ = absl::GetFlag(FLAGS_first_program),
                    .folder_ = folder.Path(),
                    .ip_ = absl::GetFlag(FLAGS_ip),
                    .hosts_ = absl::GetFlag(FLAGS_hosts),
                    .hasSeveralVersions_ = HasSeveralVersions(seed) });
  FaultInjector injector(context, fleet);
  ForeignWriter writer(context, fleet, seed);
  if (HasForeignWriter(seed)) {
    asio::co_spawn(context, writer.Run(), asio::detached);
  }
  std::vector<CallRecord> calls;
  std::vector<std::unique_ptr<SoakCaller>> callers;
  for (std::size_t i = 0;
       i < absl::GetFlag(FLAGS_callers) + kCrashingPartCallers; ++i) {
    callers.push_back(
      std::make_unique<SoakCaller>(context, fleet, injector.Operator(), calls,
                                   seed * 1000 + i, ProfileOf(i)));
  }
  std::vector<std::unique_ptr<StreamFollower>> followers;
  if (HasSeveralVersions(seed)) {
    for (std::size_t i = 0; i < kFollowers; ++i) {
      followers.push_back(std::make_unique<StreamFollower>(
        context, fleet, calls, seed * 1000 + i));
    }
  }
  const Millis length(
    static_cast<Millis::rep>(absl::GetFlag(FLAGS_seconds) * 1000.0));
  auto plan =
    MakeSoakPlan(seed, length, fleet.Hosts().size(), fleet.Engines().size());
  Shares shares;
  const auto begin = [&]() -> Task<void> {
    const auto ready = co_await AwaitAllReady(context, fleet);
    if (!ready) {
      std::cout << "the hosts do not get ready" << std::endl;
    }
    for (const auto& caller : callers) {
      // The share before the faults is measured without requests that crash
      // engines.
      asio::co_spawn(
        context,
        caller->Run(caller->CrashesEngines() ? kQuietPeriod : Duration{}),
        asio::detached);
    }
    for (const auto& follower : followers) {
      asio::co_spawn(context, follower->Run(), asio::detached);
    }
    asio::co_spawn(context, injector.Watch(), asio::detached);
    co_await RunPhases(context, fleet, injector, std::move(plan), callers,
                       calls, shares);
  };
  asio::co_spawn(context, begin(), asio::detached);
  context.run();

  injector.LogEngineCrashes();
  const auto evidence = Evidence(fleet, injector, calls);
  std::size_t crashes = 0;
  for (const auto& [engine, each] : evidence.crashes_) {
    crashes += each.size();
  }
  Summarise(calls, shares, crashes);
  std::cout << SummariseStops(evidence) << std::endl
            << SummariseReturns(evidence) << std::endl;
  std::vector<FollowedStream> streams;
  for (const auto& follower : followers) {
    streams.insert(streams.end(), follower->Streams().begin(),
                   follower->Streams().end());
  }
  std::cout << SummariseStreams(streams) << std::endl;
  auto violations = FindViolations(evidence);
  for (auto& violation : FindOrderViolations(streams)) {
    violations.push_back(std::move(violation));
  }
  for (const auto& problem : injector.Problems()) {
    violations.push_back("process: " + problem);
  }
  if (!shares.allReady_ || shares.after_ < kMinShareOfBefore * shares.before_) {
    violations.emplace_back("recover: the fleet does not serve as before");
  }
  if (const auto rejected = fleet.Platform().Store().invalidCalls_.load()) {
    violations.push_back("store: " + std::to_string(rejected) +
                         " calls that it does not allow");
  }
  for (const auto& host : fleet.Hosts()) {
    const auto used = MegabytesOf(host.process_.Pid());
    if (used > kMaxMegabytes) {
      violations.push_back("memory: a host uses " + std::to_string(used) +
                           " MB");
    }
  }
  for (const auto& line : violations) {
    std::cout << "BROKEN " << line << std::endl;
  }
  std::cout << (violations.empty() ? "no promise broken" : "seed is red")
            << std::endl;
  if (!violations.empty()) {
    folder.Keep();
  }
  return violations.empty() ? 0 : 1;
}

} // namespace

} // namespace soak

auto main(int aCount, char** aArguments) -> int
{
  absl::ParseCommandLine(aCount, aArguments);
  return soak::RunSoak();
}

#include "PoisonedFleet.h"

namespace testing {

namespace {

using namespace goldcrestcroft;
using Trouble = standins::EngineStandin::Trouble;

/** Number of crashes on which the users' rules base their limits. */
constexpr std::size_t kCrashes = 3;
/** Number of successive crashes after which a request is quarantined whose
 * copies are sent one at a time. */
constexpr std::size_t kCrashesToQuarantine = 4;
/** Number of times that a poison request may be sent later than kContact after
 * the last of kCrashes crashes. */
constexpr std::size_t kMaxLaterSends = 3;
constexpr auto kInnocent = "a body that many send";

} // namespace

TEST_CASE("a poison request is quarantined by a host that started after the "
          "verdict")
{
  PoisonedFleet fleet(3);
  fleet.Fleet().ProcessOf(2).Kill();
  fleet.CrashEngines(kCrashesToQuarantine, [&] { fleet.Send(0); });
  PoisonedFleet::AwaitContact();
  fleet.Fleet().Start(2);
  REQUIRE(fleet.Fleet().AwaitReady(2));
  PoisonedFleet::AwaitContact();
  fleet.CheckQuarantined({ 2 });
}

TEST_CASE("a poison request is quarantined after a restart of the host that "
          "received it")
{
  PoisonedFleet fleet(2);
  fleet.CrashEngines(kCrashesToQuarantine, [&] { fleet.Send(0); });
  PoisonedFleet::AwaitContact();
  fleet.Fleet().ProcessOf(0).Kill();
  fleet.Fleet().Start(0);
  REQUIRE(fleet.Fleet().AwaitReady(0));
  PoisonedFleet::AwaitContact();
  fleet.CheckQuarantined({ 0, 1 });
}

TEST_CASE("a poison request is quarantined after all hosts were killed")
{
  PoisonedFleet fleet(2);
  fleet.CrashEngines(kCrashesToQuarantine, [&] { fleet.Send(0); });
  PoisonedFleet::AwaitContact();
  for (std::size_t host = 0; host < 2; ++host) {
    fleet.Fleet().ProcessOf(host).Kill();
  }
  for (std::size_t host = 0; host < 2; ++host) {
    fleet.Fleet().Start(host);
  }
  for (std::size_t host = 0; host < 2; ++host) {
    REQUIRE(fleet.Fleet().AwaitReady(host));
  }
  PoisonedFleet::AwaitContact();
  fleet.CheckQuarantined({ 0, 1 });
}

TEST_CASE(
  "a poison request that waits for its stages at the verdict is not sent")
{
  constexpr auto kTarget = "/stream/x";
  PoisonedFleet fleet(
    2, { .marker_ = kPoison, .after_ = std::chrono::milliseconds{ 300 } },
    "model");
  const auto setStages = [&](Trouble aTrouble) {
    fleet.Fleet().Platform().SetFaultMode("cutter", aTrouble);
    fleet.Fleet().Platform().SetFaultMode("ranker", aTrouble);
  };
  // Each copy is sent twice.
  fleet.CrashEngines(kCrashesToQuarantine / 2,
                     [&] { fleet.Send(0, kPoison, kTarget); });
  REQUIRE(fleet.Crashes() == kCrashesToQuarantine / 2);
  const auto before = SuspendAwareClock{}.Now();
  std::thread last([&] { fleet.Send(0, kPoison, kTarget); });
  CHECK(EntryFleet::Await([&] { return fleet.SendsAfter(before) > 0; }));
  setStages(Trouble::Full);
  auto call = fleet.Fleet().MakeCall(kTarget);
  call.method_ = "POST";
  call.body_ = kPoison;
  CallerResponse response;
  std::thread waiting(
    [&] { response = SendCall(fleet.Fleet().CallerAddress(0), call); });
  last.join();
  // Its stages are still not produced: it is the verdict that ends the wait.
  waiting.join();
  CHECK(fleet.Crashes() >= kCrashesToQuarantine);
  CHECK(response.status_ == 503);
  CHECK(CountOf(response.body_, "crashes_engines") == 1);
  CHECK(fleet.Fleet().RunsOf(
          "model", call.headers_.at("Goldcrestcroft-Request-Id")) == 0);
}

TEST_CASE("a poison request that runs at the verdict is not retried")
{
  constexpr auto kTarget = "/safe/x";
  PoisonedFleet fleet(2);
  // Each copy is sent twice.
  fleet.CrashEngines(kCrashesToQuarantine / 2,
                     [&] { fleet.Send(0, kPoison, kTarget); });
  // The copy at the first host runs until long after the verdict.
  for (const auto& engine : fleet.Engines()) {
    engine->CrashOnMarker(
      { .marker_ = kPoison, .after_ = std::chrono::milliseconds{ 1800 } });
  }
  auto call = fleet.Fleet().MakeCall(kTarget);
  call.method_ = "POST";
  call.body_ = kPoison;
  const auto& id = call.headers_.at("Goldcrestcroft-Request-Id");
  const auto runs = [&] { return fleet.Fleet().RunsOf("desk", id); };
  CallerResponse response;
  std::thread caller(
    [&] { response = SendCall(fleet.Fleet().CallerAddress(0), call); });
  CHECK(EntryFleet::Await([&] { return runs() == 1; }));
  for (const auto& engine : fleet.Engines()) {
    engine->CrashOnMarker({ .marker_ = kPoison });
    if (engine->Runs().contains(id)) {
      engine->trouble_ = Trouble::Full;
    }
  }
  fleet.Send(1, kPoison, kTarget);
  caller.join();
  CHECK(fleet.Crashes() == kCrashesToQuarantine + 1);
  CHECK(response.status_ == 502);
  CHECK(runs() == 1);
}

TEST_CASE("an error response of an engine does not clear a poison request")
{
  PoisonedFleet fleet(2);
  fleet.CrashEngines(kCrashesToQuarantine - 1, [&] { fleet.Send(0); });
  fleet.SetFaultMode(Trouble::Fails);
  CHECK(fleet.Send(0).status_ == 500);
  fleet.SetFaultMode(Trouble::None);
  fleet.CrashEngines(kCrashesToQuarantine, [&] { fleet.Send(0); });
  PoisonedFleet::AwaitContact();
  fleet.CheckQuarantined({ 0, 1 });
}

TEST_CASE("crashes during a poison request count although the engines close no "
          "connections")
{
  PoisonedFleet fleet(2, { .marker_ = kPoison,
                           .downFor_ = std::chrono::milliseconds{ 1500 },
                           .silent_ = true });
  SUBCASE("where callers leave")
  {
    fleet.CrashEngines(kCrashesToQuarantine, [&] {
      fleet.Fleet().Leave(
        0, { .method_ = "POST", .target_ = kPlain, .body_ = kPoison });
    });
  }
  SUBCASE("where callers wait until their deadline")
  {
    fleet.CrashEngines(kCrashesToQuarantine, [&] {
      fleet.Fleet().Call(
        0, { .method_ = "POST",
             .target_ = kPlain,
             .headers_ = { { "Goldcrestcroft-Deadline-Ms", "400" } },
             .body_ = kPoison });
    });
  }
  PoisonedFleet::AwaitContact();
  fleet.CheckQuarantined({ 0, 1 });
}

TEST_CASE("a poison request on an idempotent route is sent no more often than "
          "allowed")
{
  constexpr auto kTarget = "/safe/x";
  constexpr std::size_t kHosts = 3;
  constexpr std::size_t kRounds = 4;
  PoisonedFleet fleet(kHosts);
  // Copies are sent to the hosts in turn.
  std::size_t host = 0;
  fleet.CrashEngines(kCrashes,
                     [&] { fleet.Send(host++ % kHosts, kPoison, kTarget); });
  const auto later = PoisonedFleet::AwaitContact();
  SUBCASE("by hosts that run all the time") {}
  SUBCASE("by a host that restarts")
  {
    fleet.Fleet().ProcessOf(0).Kill();
    fleet.Fleet().Start(0);
    REQUIRE(fleet.Fleet().AwaitReady(0));
    PoisonedFleet::AwaitContact();
  }
  for (std::size_t i = 0; i < kHosts * kRounds; ++i) {
    fleet.Send(i % kHosts, kPoison, kTarget);
    fleet.AwaitStarted();
  }
  CHECK(fleet.SendsAfter(later) <= kMaxLaterSends);
  CHECK(fleet.SendsAfter({}) <= kCrashes + kMaxLaterSends);
}

TEST_CASE(
  "a harmless request that runs on engines that crash together is served")
{
  constexpr std::size_t kHosts = 4;
  constexpr auto kRunMs = 1500;
  PoisonedFleet fleet(kHosts);
  for (const auto& engine : fleet.Engines()) {
    engine->delayMs_ = kRunMs;
  }
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < 3 * PoisonedFleet::kEnginesOfEach; ++i) {
    callers.emplace_back([&, i] { fleet.Send(i % kHosts, kInnocent); });
  }
  CHECK(EntryFleet::Await([&] {
    return std::all_of(
      fleet.Engines().begin(), fleet.Engines().begin() + kCrashes,
      [](const auto& aEach) { return !aEach->Arrivals().empty(); });
  }));
  for (std::size_t i = 0; i < kCrashes; ++i) {
    fleet.Engines()[i]->CrashNow();
  }
  CHECK(EntryFleet::Await([&] { return fleet.Crashes() == kCrashes; }));
  for (const auto& engine : fleet.Engines()) {
    engine->delayMs_ = 0;
  }
  for (std::size_t host = 0; host < kHosts; ++host) {
    CAPTURE(host);
    CHECK(fleet.Send(host, kOther).status_ == 200);
    CHECK(fleet.Send(host, kInnocent).status_ == 200);
  }
  for (auto& caller : callers) {
    caller.join();
  }
}

TEST_CASE("a harmless request is served after live engines reset connections")
{
  constexpr std::size_t kHosts = 2;
  constexpr auto kLosses = 12;
  PoisonedFleet fleet(kHosts);
  fleet.SetFaultMode(Trouble::Drops);
  for (std::size_t i = 0; i < kLosses; ++i) {
    fleet.Send(i % kHosts, kInnocent);
  }
  fleet.SetFaultMode(Trouble::None);
  for (std::size_t host = 0; host < kHosts; ++host) {
    CAPTURE(host);
    CHECK(EntryFleet::Await(
      [&] { return fleet.Send(host, kOther).status_ == 200; }));
    CHECK(fleet.Send(host, kInnocent).status_ == 200);
  }
}

} // namespace testing

#include "PoisonedFleet.h"

namespace testing {

namespace {

using namespace goldcrestcroft;
using Trouble = standins::EngineStandin::Trouble;

/** Ends of engines by which the users' rules measure. */
constexpr std::size_t kEnds = 3;
/** Ends, one after the other, after which a request is held back whose copies
 * come one at a time. */
constexpr std::size_t kEndsToHold = 4;
/** Times that it may be sent later than kContact after the last of them. */
constexpr std::size_t kMostLaterSends = 3;
constexpr auto kInnocent = "a body that many send";

} // namespace

TEST_CASE("a poison is held back by a host that started after its verdict")
{
  PoisonedFleet fleet(3);
  fleet.Fleet().ProcessOf(2).Kill();
  fleet.EndEngines(kEndsToHold, [&] { fleet.Send(0); });
  PoisonedFleet::AwaitContact();
  fleet.Fleet().Start(2);
  REQUIRE(fleet.Fleet().AwaitReady(2));
  PoisonedFleet::AwaitContact();
  fleet.CheckHeldBack({ 2 });
}

TEST_CASE("a poison is held back by the host that saw it after its restart")
{
  PoisonedFleet fleet(2);
  fleet.EndEngines(kEndsToHold, [&] { fleet.Send(0); });
  PoisonedFleet::AwaitContact();
  fleet.Fleet().ProcessOf(0).Kill();
  fleet.Fleet().Start(0);
  REQUIRE(fleet.Fleet().AwaitReady(0));
  PoisonedFleet::AwaitContact();
  fleet.CheckHeldBack({ 0, 1 });
}

TEST_CASE("a poison is held back after all hosts were killed")
{
  PoisonedFleet fleet(2);
  fleet.EndEngines(kEndsToHold, [&] { fleet.Send(0); });
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
  fleet.CheckHeldBack({ 0, 1 });
}

TEST_CASE("a poison that waits for its stages at the verdict is not sent")
{
  constexpr auto kTarget = "/stream/x";
  PoisonedFleet fleet(
    2, { .marker_ = kPoison, .after_ = std::chrono::milliseconds{ 300 } },
    "model");
  const auto setStages = [&](Trouble aTrouble) {
    fleet.Fleet().Platform().SetTrouble("cutter", aTrouble);
    fleet.Fleet().Platform().SetTrouble("ranker", aTrouble);
  };
  // Each copy is sent twice.
  fleet.EndEngines(kEndsToHold / 2, [&] { fleet.Send(0, kPoison, kTarget); });
  REQUIRE(fleet.Ends() == kEndsToHold / 2);
  const auto before = SuspendAwareClock{}.Now();
  std::thread last([&] { fleet.Send(0, kPoison, kTarget); });
  CHECK(EntryFleet::Await([&] { return fleet.SendsAfter(before) > 0; }));
  setStages(Trouble::Full);
  auto call = fleet.Fleet().MakeCall(kTarget);
  call.method_ = "POST";
  call.body_ = kPoison;
  CallerResponse answer;
  std::thread waiting(
    [&] { answer = SendCall(fleet.Fleet().CallerAddress(0), call); });
  last.join();
  // Its stages are still not made: it is the verdict that ends the wait.
  waiting.join();
  CHECK(fleet.Ends() >= kEndsToHold);
  CHECK(answer.status_ == 503);
  CHECK(CountOf(answer.body_, "crashes_engines") == 1);
  CHECK(fleet.Fleet().RunsOf(
          "model", call.headers_.at("Goldcrestcroft-Request-Id")) == 0);
}

TEST_CASE("a poison that runs at the verdict is not sent once more")
{
  constexpr auto kTarget = "/safe/x";
  PoisonedFleet fleet(2);
  // Each copy is sent twice.
  fleet.EndEngines(kEndsToHold / 2, [&] { fleet.Send(0, kPoison, kTarget); });
  // The copy at the first host runs until long after the verdict.
  for (const auto& engine : fleet.Engines()) {
    engine->EndUnder(
      { .marker_ = kPoison, .after_ = std::chrono::milliseconds{ 1800 } });
  }
  auto call = fleet.Fleet().MakeCall(kTarget);
  call.method_ = "POST";
  call.body_ = kPoison;
  const auto& id = call.headers_.at("Goldcrestcroft-Request-Id");
  const auto runs = [&] { return fleet.Fleet().RunsOf("desk", id); };
  CallerResponse answer;
  std::thread caller(
    [&] { answer = SendCall(fleet.Fleet().CallerAddress(0), call); });
  CHECK(EntryFleet::Await([&] { return runs() == 1; }));
  for (const auto& engine : fleet.Engines()) {
    engine->EndUnder({ .marker_ = kPoison });
    if (engine->Runs().contains(id)) {
      engine->trouble_ = Trouble::Full;
    }
  }
  fleet.Send(1, kPoison, kTarget);
  caller.join();
  CHECK(fleet.Ends() == kEndsToHold + 1);
  CHECK(answer.status_ == 502);
  CHECK(runs() == 1);
}

TEST_CASE("an engine's own failure does not clear a poison")
{
  PoisonedFleet fleet(2);
  fleet.EndEngines(kEndsToHold - 1, [&] { fleet.Send(0); });
  fleet.SetTrouble(Trouble::Fails);
  CHECK(fleet.Send(0).status_ == 500);
  fleet.SetTrouble(Trouble::None);
  fleet.EndEngines(kEndsToHold, [&] { fleet.Send(0); });
  PoisonedFleet::AwaitContact();
  fleet.CheckHeldBack({ 0, 1 });
}

TEST_CASE("engines that end silently under a poison count")
{
  PoisonedFleet fleet(2, { .marker_ = kPoison,
                           .away_ = std::chrono::milliseconds{ 1500 },
                           .silent_ = true });
  SUBCASE("where callers leave")
  {
    fleet.EndEngines(kEndsToHold, [&] {
      fleet.Fleet().Leave(
        0, { .method_ = "POST", .target_ = kPlain, .body_ = kPoison });
    });
  }
  SUBCASE("where callers wait until their deadline")
  {
    fleet.EndEngines(kEndsToHold, [&] {
      fleet.Fleet().Call(
        0, { .method_ = "POST",
             .target_ = kPlain,
             .headers_ = { { "Goldcrestcroft-Deadline-Ms", "400" } },
             .body_ = kPoison });
    });
  }
  PoisonedFleet::AwaitContact();
  fleet.CheckHeldBack({ 0, 1 });
}

TEST_CASE("a poison on a repeatable route is sent no more often than allowed")
{
  constexpr auto kTarget = "/safe/x";
  constexpr std::size_t kHosts = 3;
  constexpr std::size_t kRounds = 4;
  PoisonedFleet fleet(kHosts);
  // Each host gets the copies in turn.
  std::size_t host = 0;
  fleet.EndEngines(kEnds,
                   [&] { fleet.Send(host++ % kHosts, kPoison, kTarget); });
  const auto later = PoisonedFleet::AwaitContact();
  SUBCASE("by hosts that run all the while") {}
  SUBCASE("by a host that starts again")
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
  CHECK(fleet.SendsAfter(later) <= kMostLaterSends);
  CHECK(fleet.SendsAfter({}) <= kEnds + kMostLaterSends);
}

TEST_CASE("an innocent under way on engines that end together is served")
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
      fleet.Engines().begin(), fleet.Engines().begin() + kEnds,
      [](const auto& aEach) { return !aEach->Arrivals().empty(); });
  }));
  for (std::size_t i = 0; i < kEnds; ++i) {
    fleet.Engines()[i]->EndNow();
  }
  CHECK(EntryFleet::Await([&] { return fleet.Ends() == kEnds; }));
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

TEST_CASE("an innocent is served after engines that lived reset connections")
{
  constexpr std::size_t kHosts = 2;
  constexpr auto kLosses = 12;
  PoisonedFleet fleet(kHosts);
  fleet.SetTrouble(Trouble::Drops);
  for (std::size_t i = 0; i < kLosses; ++i) {
    fleet.Send(i % kHosts, kInnocent);
  }
  fleet.SetTrouble(Trouble::None);
  for (std::size_t host = 0; host < kHosts; ++host) {
    CAPTURE(host);
    CHECK(EntryFleet::Await(
      [&] { return fleet.Send(host, kOther).status_ == 200; }));
    CHECK(fleet.Send(host, kInnocent).status_ == 200);
  }
}

} // namespace testing

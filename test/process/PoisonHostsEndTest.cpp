#include "PoisonedFleet.h"

namespace testing {

TEST_CASE("a poison's runs count whose hosts end before the store confirms "
          "that the engines did")
{
  constexpr auto kEndsToHold = 4;
  constexpr std::size_t kEnding = 2;
  // Engines are back before anybody finds their addresses closed.
  PoisonedFleet fleet(
    3, { .marker_ = kPoison, .away_ = std::chrono::milliseconds{ 1 } });
  CAPTURE(fleet.Fleet().Log(0));
  CAPTURE(fleet.Fleet().Log(1));
  auto& store = fleet.Fleet().Platform().Store();
  for (int ends = 1; ends <= kEndsToHold; ++ends) {
    store.busy_ = true;
    CHECK(fleet.Send(kEnding).status_ == 502);
    REQUIRE(EntryFleet::Await([&] {
      return CountOf(fleet.Fleet().Log(kEnding), "run_entrusted") == ends;
    }));
    fleet.Fleet().ProcessOf(kEnding).Kill();
    fleet.AwaitStarted();
    CHECK(fleet.Ends() == static_cast<std::size_t>(ends));
    store.busy_ = false;
    PoisonedFleet::AwaitContact();
    fleet.Fleet().Start(kEnding);
    REQUIRE(fleet.Fleet().AwaitReady(kEnding));
    REQUIRE(fleet.Fleet().AwaitAcquainted());
  }
  fleet.CheckHeldBack({ 0, 1, kEnding });
}

TEST_CASE("a verdict is stored although the hosts that found out have ended")
{
  constexpr auto kEndsToHold = 4;
  constexpr std::size_t kHosts = 4;
  PoisonedFleet fleet(kHosts);
  auto& store = fleet.Fleet().Platform().Store();
  fleet.EndEngines(kEndsToHold - 1, [&] { fleet.Send(0); });
  store.busy_ = true;
  fleet.EndEngines(kEndsToHold, [&] { fleet.Send(0); });
  PoisonedFleet::AwaitContact();
  // Its host and the two keepers of the request may have found out.
  std::size_t other = 0;
  while (other < kHosts &&
         CountOf(fleet.Fleet().Log(other), "request_suspected") > 0) {
    ++other;
  }
  REQUIRE(other < kHosts);
  CAPTURE(fleet.Fleet().Log(other));
  for (std::size_t host = 0; host < kHosts; ++host) {
    if (host != other) {
      fleet.Fleet().ProcessOf(host).Kill();
    }
  }
  store.busy_ = false;
  // The deaths are known, and the store is asked each second.
  PoisonedFleet::AwaitContact();
  PoisonedFleet::AwaitContact();
  fleet.Fleet().ProcessOf(other).Kill();
  for (std::size_t host = 0; host < kHosts; ++host) {
    fleet.Fleet().Start(host);
  }
  for (std::size_t host = 0; host < kHosts; ++host) {
    REQUIRE(fleet.Fleet().AwaitReady(host));
  }
  REQUIRE(fleet.Fleet().AwaitAcquainted());
  PoisonedFleet::AwaitContact();
  fleet.CheckHeldBack({ 0, other });
}

} // namespace testing

#include "PoisonedFleet.h"

namespace testing {

TEST_CASE(
  "runs of a poison request count although their hosts crash before the "
  "store confirms that the engines ended")
{
  constexpr auto kCrashesToQuarantine = 4;
  constexpr std::size_t kCrashing = 2;
  // Engines are back before any host finds their addresses closed.
  PoisonedFleet fleet(
    3, { .marker_ = kPoison, .downFor_ = std::chrono::milliseconds{ 1 } });
  CAPTURE(fleet.Fleet().Log(0));
  CAPTURE(fleet.Fleet().Log(1));
  auto& store = fleet.Fleet().Platform().Store();
  for (int ends = 1; ends <= kCrashesToQuarantine; ++ends) {
    store.busy_ = true;
    CHECK(fleet.Send(kCrashing).status_ == 502);
    REQUIRE(EntryFleet::Await([&] {
      return CountOf(fleet.Fleet().Log(kCrashing), "run_entrusted") == ends;
    }));
    fleet.Fleet().ProcessOf(kCrashing).Kill();
    fleet.AwaitStarted();
    CHECK(fleet.Crashes() == static_cast<std::size_t>(ends));
    store.busy_ = false;
    PoisonedFleet::AwaitContact();
    fleet.Fleet().Start(kCrashing);
    REQUIRE(fleet.Fleet().AwaitReady(kCrashing));
    REQUIRE(fleet.Fleet().AwaitDiscovery());
  }
  fleet.CheckQuarantined({ 0, 1, kCrashing });
}

TEST_CASE("a verdict is stored although the hosts that reached it have crashed")
{
  constexpr auto kCrashesToQuarantine = 4;
  constexpr std::size_t kHosts = 4;
  PoisonedFleet fleet(kHosts);
  auto& store = fleet.Fleet().Platform().Store();
  fleet.CrashEngines(kCrashesToQuarantine - 1, [&] { fleet.Send(0); });
  store.busy_ = true;
  fleet.CrashEngines(kCrashesToQuarantine, [&] { fleet.Send(0); });
  PoisonedFleet::AwaitContact();
  // The host that got the copies and the two owners of the request may have
  // reached the verdict.
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
  // By then the crashes of the hosts are known, and the store is called each
  // second.
  PoisonedFleet::AwaitContact();
  PoisonedFleet::AwaitContact();
  fleet.Fleet().ProcessOf(other).Kill();
  for (std::size_t host = 0; host < kHosts; ++host) {
    fleet.Fleet().Start(host);
  }
  for (std::size_t host = 0; host < kHosts; ++host) {
    REQUIRE(fleet.Fleet().AwaitReady(host));
  }
  REQUIRE(fleet.Fleet().AwaitDiscovery());
  PoisonedFleet::AwaitContact();
  fleet.CheckQuarantined({ 0, other });
}

} // namespace testing

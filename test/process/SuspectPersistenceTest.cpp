#include "PoisonedFleet.h"

namespace testing {

namespace {

constexpr std::size_t kHosts = 3;
/** Number of successive crashes after which a request is quarantined whose
 * copies are sent one at a time. */
constexpr std::size_t kCrashesToQuarantine = 4;

auto IsSuspected(PoisonedFleet& aFleet, std::size_t aHost) -> bool
{
  return CountOf(aFleet.Fleet().Log(aHost), "\"level\":\"suspected\"") > 0;
}
auto RestartAll(PoisonedFleet& aFleet) -> void
{
  for (std::size_t host = 0; host < kHosts; ++host) {
    aFleet.Fleet().ProcessOf(host).Kill();
  }
  for (std::size_t host = 0; host < kHosts; ++host) {
    aFleet.Fleet().Start(host);
  }
  for (std::size_t host = 0; host < kHosts; ++host) {
    REQUIRE(aFleet.Fleet().AwaitReady(host));
  }
  REQUIRE(aFleet.Fleet().AwaitDiscovery());
  PoisonedFleet::AwaitContact();
}

} // namespace

TEST_CASE("the count of a suspected request survives a restart of all hosts")
{
  PoisonedFleet fleet(kHosts);
  std::size_t crashesBefore = 0;
  SUBCASE("after its second crash")
  {
    crashesBefore = kCrashesToQuarantine - 2;
  }
  SUBCASE("after its third crash")
  {
    crashesBefore = kCrashesToQuarantine - 1;
  }
  fleet.CrashEngines(crashesBefore, [&] { fleet.Send(0); });
  PoisonedFleet::AwaitContact();
  REQUIRE(IsSuspected(fleet, 0));
  RestartAll(fleet);
  CAPTURE(fleet.Fleet().Log(0));
  fleet.CrashEngines(kCrashesToQuarantine, [&] { fleet.Send(0); });
  PoisonedFleet::AwaitContact();
  fleet.CheckQuarantined({ 0, 1, 2 });
}

TEST_CASE("the row of a suspicion is removed once a copy has completed")
{
  PoisonedFleet fleet(kHosts);
  CAPTURE(fleet.Fleet().Log(0));
  fleet.CrashEngines(kCrashesToQuarantine - 1, [&] { fleet.Send(0); });
  auto& store = fleet.Fleet().Platform().Store();
  CHECK(EntryFleet::Await([&] { return store.CountRows("held") == 1; }));
  for (const auto& engine : fleet.Engines()) {
    engine->CrashOnMarker({ .marker_ = "no body" });
  }
  CHECK(fleet.Send(1).status_ == 200);
  CHECK(EntryFleet::Await([&] { return store.CountRows("held") == 0; }));
}

} // namespace testing

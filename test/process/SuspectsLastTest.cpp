#include "PoisonedFleet.h"

namespace testing {

namespace {

constexpr std::size_t kHosts = 3;
/** Ends, one after the other, after which a request is held back whose copies
 * come one at a time. */
constexpr std::size_t kEndsToHold = 4;

auto IsSuspected(PoisonedFleet& aFleet, std::size_t aHost) -> bool
{
  return CountOf(aFleet.Fleet().Log(aHost), "\"level\":\"suspected\"") > 0;
}
auto StartAllAgain(PoisonedFleet& aFleet) -> void
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
  REQUIRE(aFleet.Fleet().AwaitAcquainted());
  PoisonedFleet::AwaitContact();
}

} // namespace

TEST_CASE("the count of a suspected request is lost where all hosts start "
          "again")
{
  PoisonedFleet fleet(kHosts);
  std::size_t endsBefore = 0;
  SUBCASE("after its second end")
  {
    endsBefore = kEndsToHold - 2;
  }
  SUBCASE("after its third end")
  {
    endsBefore = kEndsToHold - 1;
  }
  fleet.EndEngines(endsBefore, [&] { fleet.Send(0); });
  PoisonedFleet::AwaitContact();
  REQUIRE(IsSuspected(fleet, 0));
  StartAllAgain(fleet);
  CAPTURE(fleet.Fleet().Log(0));
  fleet.EndEngines(kEndsToHold, [&] { fleet.Send(0); });
  PoisonedFleet::AwaitContact();
  fleet.CheckHeldBack({ 0, 1, 2 });
}

TEST_CASE("the row of a suspicion stays when a copy has run to its end")
{
  PoisonedFleet fleet(kHosts);
  CAPTURE(fleet.Fleet().Log(0));
  fleet.EndEngines(kEndsToHold - 1, [&] { fleet.Send(0); });
  auto& store = fleet.Fleet().Platform().Store();
  CHECK(EntryFleet::Await([&] { return store.CountRows("held") == 1; }));
  for (const auto& engine : fleet.Engines()) {
    engine->EndUnder({ .marker_ = "no body" });
  }
  CHECK(fleet.Send(1).status_ == 200);
  CHECK(EntryFleet::Await([&] { return store.CountRows("held") == 0; }));
}

} // namespace testing

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

} // namespace testing

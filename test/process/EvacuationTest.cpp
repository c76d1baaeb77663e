#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <array>

namespace testing {

namespace {

/** An idempotent stream whose stages run first. */
constexpr auto kStream = "/stream/x";
constexpr std::array kServices{ "desk", "model", "cutter", "ranker" };

/** \brief Waits until the host has logged the state of aCount engines more than
 * aBefore times. */
auto AwaitStates(EntryFleet& aFleet, std::size_t aHost,
                 const std::string& aState, int aBefore) -> bool
{
  return EntryFleet::Await([&] {
    return CountOf(aFleet.Log(aHost), "\"state\":\"" + aState + "\"") >=
           aBefore + static_cast<int>(std::size(kServices));
  });
}

/** \brief Moves the second engine of each service to zone z2, and waits until
 * the hosts know. */
auto MoveSecondEngines(EntryFleet& aFleet) -> void
{
  const auto put = [&](const std::string& aState) {
    for (const auto* service : kServices) {
      auto& engine = *aFleet.Platform().Engines(service)[1];
      auto entry = engine.Entry(service, aState);
      entry.replace(entry.find("\"z1\""), 4, "\"z2\"");
      aFleet.Platform().Store().Put("servers", engine.Id(), entry);
    }
  };
  const auto readyAt0 = CountOf(aFleet.Log(0), "\"state\":\"ready\"");
  const auto readyAt1 = CountOf(aFleet.Log(1), "\"state\":\"ready\"");
  put("draining");
  REQUIRE(AwaitStates(aFleet, 0, "draining", 0));
  REQUIRE(AwaitStates(aFleet, 1, "draining", 0));
  put("ready");
  REQUIRE(AwaitStates(aFleet, 0, "ready", readyAt0));
  REQUIRE(AwaitStates(aFleet, 1, "ready", readyAt1));
}

auto ReceivedIn(EntryFleet& aFleet, std::size_t aIndex) -> std::size_t
{
  std::size_t sum = 0;
  for (const auto* service : kServices) {
    sum += aFleet.Platform().Engines(service)[aIndex]->ReceivedCount();
  }
  return sum;
}

auto Knows(EntryFleet& aFleet, std::size_t aHost, const std::string& aEvent)
  -> bool
{
  return EntryFleet::Await(
    [&] { return aFleet.Log(aHost).find(aEvent) != std::string::npos; });
}

auto SendToAll(EntryFleet& aFleet, std::size_t aHosts) -> void
{
  for (auto i = 0; i < 6; ++i) {
    for (std::size_t host = 0; host < aHosts; ++host) {
      CHECK(aFleet.Get(host, "/safe/x").status_ == 200);
      CHECK(aFleet.Get(host, kStream).status_ == 200);
    }
  }
}

} // namespace

TEST_CASE("engines of an evacuated zone get no requests and no stage calls "
          "from any host until the evacuation ends, also after a restart")
{
  constexpr std::size_t kHosts = 2;
  EntryFleet fleet(kHosts);
  REQUIRE(fleet.AwaitReady(0));
  REQUIRE(fleet.AwaitReady(1));
  REQUIRE(fleet.AwaitDiscovery());
  MoveSecondEngines(fleet);
  auto& store = fleet.Platform().Store();
  store.Put("op", "evacuate/z2", "{}");
  REQUIRE(Knows(fleet, 0, "zone_evacuated"));
  REQUIRE(Knows(fleet, 1, "zone_evacuated"));
  const auto before = ReceivedIn(fleet, 1);
  SendToAll(fleet, kHosts);
  CHECK(ReceivedIn(fleet, 1) == before);

  fleet.ProcessOf(0).Kill();
  fleet.Start(0);
  REQUIRE(fleet.AwaitReady(0));
  SendToAll(fleet, kHosts);
  CHECK(ReceivedIn(fleet, 1) == before);

  store.Put("op", "evacuate/z1", "{}");
  CHECK(
    EntryFleet::Await([&] { return fleet.Get(0, "/safe/x").status_ == 503; }));
  const auto refused = fleet.Get(0, kStream);
  CHECK(refused.status_ == 503);
  CHECK(refused.headers_.contains("Retry-After"));
  store.Remove("op", "evacuate/z1");

  store.Remove("op", "evacuate/z2");
  CHECK(Knows(fleet, 1, "zone_evacuation_ended"));
  CHECK(EntryFleet::Await([&] {
    fleet.Get(1, "/safe/x");
    fleet.Get(1, kStream);
    return ReceivedIn(fleet, 1) > before;
  }));
}

} // namespace testing

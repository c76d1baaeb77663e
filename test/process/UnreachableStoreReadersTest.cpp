#include "EntryFleet.h"

#include <goldcrestcroft/Core.h>

#include <doctest/doctest.h>

#include <algorithm>

namespace testing {

namespace {

using EndpointState = standins::StoreStandin::EndpointState;
using std::chrono::milliseconds;

/** More hosts than a fleet may have in which every host reads the store. */
constexpr std::size_t kHosts = 16;
/** `config_ms` and `drain_ms` for fleets of this kind. */
constexpr auto kBound = milliseconds{ 3000 };

/** Hosts in the order of precedence in which they read the table. */
auto ReadersOf(const std::string& aTable) -> std::vector<std::size_t>
{
  std::vector<std::size_t> hosts;
  for (std::size_t i = 0; i < kHosts; ++i) {
    hosts.push_back(i);
  }
  const auto weight = [&](std::size_t aHost) {
    return goldcrestcroft::RendezvousWeight(aTable,
                                            "h" + std::to_string(aHost));
  };
  std::sort(hosts.begin(), hosts.end(), [&](auto aLeft, auto aRight) {
    return weight(aLeft) > weight(aRight);
  });
  return hosts;
}

/** Sets how the store treats all hosts but the last two in that order. */
auto SetReaderDoors(EntryFleet& aFleet, const std::string& aTable,
                    EndpointState aDoor) -> void
{
  const auto order = ReadersOf(aTable);
  for (std::size_t i = 0; i + 2 < order.size(); ++i) {
    aFleet.Platform().Store().SetEndpointState(order[i], aDoor);
  }
}

auto StartFleet(EntryFleet& aFleet) -> void
{
  for (std::size_t i = 0; i < kHosts; ++i) {
    REQUIRE(aFleet.AwaitReady(i));
  }
  REQUIRE(aFleet.AwaitDiscovery());
  // Calls that began while hosts knew few others have ended by then.
  std::this_thread::sleep_for(milliseconds{ 5000 });
}

/** Number of hosts that still accept a key kBound after it was replaced, or do
 * not accept the new one. */
auto CountHostsBehind(EntryFleet& aFleet) -> std::size_t
{
  aFleet.Platform().PutConfig(2, "", { "key2" });
  std::this_thread::sleep_for(kBound);
  std::size_t behind = 0;
  for (std::size_t i = 0; i < kHosts; ++i) {
    const auto old = aFleet.Get(i, "/safe/x").status_;
    const auto fresh = aFleet
                         .Call(i, { .target_ = "/safe/y",
                                    .headers_ = { { "X-Api-Key", "key2" } } })
                         .status_;
    behind += old != 401 || fresh != 200 ? 1 : 0;
  }
  return behind;
}

} // namespace

TEST_CASE("a version is in force in time although the store refuses the hosts "
          "whose role it is to read it")
{
  EntryFleet fleet(kHosts, { .extraStoreEndpoints_ = kHosts });
  StartFleet(fleet);
  SetReaderDoors(fleet, "configuration", EndpointState::TooMany);
  CHECK(CountHostsBehind(fleet) == 0);
}

TEST_CASE(
  "a version is in force in time although the store does not answer the "
  "hosts whose role it is to read it")
{
  EntryFleet fleet(kHosts, { .extraStoreEndpoints_ = kHosts });
  StartFleet(fleet);
  SetReaderDoors(fleet, "configuration", EndpointState::Silent);
  CHECK(CountHostsBehind(fleet) == 0);
}

TEST_CASE(
  "an engine that drains gets no requests although the store refuses the "
  "hosts whose role it is to read its entry")
{
  EntryFleet fleet(kHosts, { .extraStoreEndpoints_ = kHosts });
  StartFleet(fleet);
  SetReaderDoors(fleet, "engines", EndpointState::Busy);
  auto& leaving = *fleet.Platform().Engines("desk")[0];
  fleet.Platform().Store().Put("servers", leaving.Id(),
                               leaving.Entry("desk", "draining"));
  std::this_thread::sleep_for(kBound);
  const auto before = leaving.ReceivedCount();
  for (std::size_t i = 0; i < kHosts; ++i) {
    for (auto request = 0; request < 4; ++request) {
      CHECK(fleet.Get(i, "/safe/x").status_ == 200);
    }
  }
  CHECK(leaving.ReceivedCount() == before);
}

} // namespace testing

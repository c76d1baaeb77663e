#include "PoisonedFleet.h"

#include <csignal>

namespace testing {

namespace {

constexpr std::size_t kHosts = 3;

auto IsSuspectedAnywhere(PoisonedFleet& aFleet) -> bool
{
  std::string logs;
  for (std::size_t host = 0; host < kHosts; ++host) {
    logs += aFleet.Fleet().Log(host);
  }
  return CountOf(logs, "\"level\":\"suspected\"") > 0;
}

} // namespace

TEST_CASE("the first crash under a request is not forgotten when all hosts are "
          "replaced, one after the other")
{
  PoisonedFleet fleet(kHosts);
  auto& hosts = fleet.Fleet();
  CAPTURE(hosts.Log(0));
  auto signal = SIGTERM;
  SUBCASE("by planned stops") {}
  SUBCASE("by crashes")
  {
    signal = SIGKILL;
  }
  fleet.CrashEngines(1, [&] { fleet.Send(0); });
  PoisonedFleet::AwaitContact();
  REQUIRE_FALSE(IsSuspectedAnywhere(fleet));
  for (std::size_t host = 0; host < kHosts; ++host) {
    hosts.ProcessOf(host).Signal(signal);
    REQUIRE(
      EntryFleet::Await([&] { return !hosts.ProcessOf(host).IsRunning(); }));
    // The others notice that the host is gone, then that it is back.
    PoisonedFleet::AwaitContact();
    hosts.Start(host);
    REQUIRE(hosts.AwaitReady(host));
    REQUIRE(hosts.AwaitDiscovery());
    PoisonedFleet::AwaitContact();
  }
  fleet.CrashEngines(2, [&] { fleet.Send(0); });
  PoisonedFleet::AwaitContact();
  CHECK(IsSuspectedAnywhere(fleet));
}

} // namespace testing

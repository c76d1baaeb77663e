#include "Fleet.h"

#include <csignal>
#include <thread>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE(
  "planned stop: stopping each host in turn under load fails no request")
{
  Fleet fleet({ .engineStepMicroseconds_ = 2000 });
  LoadRun run({ .host_ = fleet.HostAddress(0),
                .requests_ = { LoadRequestOf({ .input_ = "load" }),
                               LoadRequestOf({ .pipeline_ = "payout",
                                               .input_ = "pay",
                                               .key_ = "yes",
                                               .workspace_ = "payments" }) },
                .rate_ = 150.0,
                .count_ = 1800 });
  auto answered = false;
  std::thread load([&] { answered = run.Run(); });
  for (auto host = 0; host < 3; ++host) {
    std::this_thread::sleep_for(std::chrono::milliseconds{ 700 });
    fleet.Host(host).Signal(SIGTERM);
    CHECK(fleet.Host(host).Wait() == 0);
    fleet.StartHost(host);
    fleet.AwaitReady(host);
  }
  load.join();
  CHECK(answered);
  CHECK(run.Report().Responses() == 1800);
  CHECK(run.Report().AllSucceeded());
}

TEST_CASE("planned stop: a stopping host is removed from the host list at once")
{
  Fleet fleet({ .keepHostsMilliseconds_ = 3000 });
  fleet.Host(1).Signal(SIGTERM);
  for (auto host = 0; host < 3; ++host) {
    fleet.Await("left out", [&] {
      return fleet.Get(fleet.HostAddress(host), "/v1/hosts")
               .body_.find(fleet.HostAddress(1)) == std::string::npos;
    });
  }
  // Callers that still use an older host list are served.
  CHECK(OutcomeOf(fleet.Send(1, {})) == "completed");
  CHECK(fleet.Host(1).Wait() == 0);
}

} // namespace testing

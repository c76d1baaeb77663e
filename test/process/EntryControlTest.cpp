#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <csignal>

namespace testing {

TEST_CASE("changed settings are applied with a signal and without")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  fleet.ChangeSettings(0, "\"directory_keep_s\": 0.3",
                       "\"directory_keep_s\": 1.5");
  CHECK(EntryFleet::Await(
    [&] { return fleet.Directory(0).body_.find("1.5") != std::string::npos; }));
  fleet.ChangeSettings(0, "\"host\": \"h0\"", "\"host\": \"other\"");
  fleet.ProcessOf(0).Signal(SIGHUP);
  CHECK(EntryFleet::Await([&] {
    return fleet.Log(0).find("\"at_next_start\":\"host\"") != std::string::npos;
  }));
  CHECK(fleet.Get(0, "/safe/x").status_ == 200);
}

TEST_CASE("configuration spreads, and a draining engine gets no more requests")
{
  EntryFleet fleet(2);
  REQUIRE(fleet.AwaitReady(0));
  REQUIRE(fleet.AwaitReady(1));
  CHECK(fleet.Get(1, "/new/x").status_ == 404);
  fleet.Platform().PutConfig(2, "/new/");
  CHECK(
    EntryFleet::Await([&] { return fleet.Get(1, "/new/x").status_ == 200; }));
  // An older version does not come back.
  fleet.Platform().PutConfig(1);
  std::this_thread::sleep_for(std::chrono::milliseconds{ 300 });
  CHECK(fleet.Get(0, "/new/x").status_ == 200);

  auto& leaving = *fleet.Platform().Engines("desk")[0];
  fleet.Platform().Store().Put("servers", leaving.Id(),
                               leaving.Entry("desk", "draining"));
  std::this_thread::sleep_for(std::chrono::milliseconds{ 500 });
  const auto before = leaving.Runs().size();
  for (auto i = 0; i < 10; ++i) {
    CHECK(fleet.Get(0, "/safe/x").status_ == 200);
  }
  CHECK(leaving.Runs().size() == before);
}

TEST_CASE(
  "hosts go on serving without the store, and a host that starts asks a "
  "peer")
{
  EntryFleet fleet(2);
  REQUIRE(fleet.AwaitReady(0));
  REQUIRE(fleet.AwaitReady(1));
  // A host without seeds that no other host has met would have no peer to ask.
  REQUIRE(fleet.AwaitDiscovery());
  fleet.Platform().Store().busy_ = true;
  CHECK(fleet.Get(0, "/safe/x").status_ == 200);
  // Without the store it finds the other host by the heartbeats that it
  // receives.
  fleet.ProcessOf(1).Kill();
  fleet.Start(1);
  CHECK(fleet.AwaitReady(1));
  CHECK(fleet.Get(1, "/safe/x").status_ == 200);
  CHECK(fleet.Log(1).find("state_from_peer") != std::string::npos);
  fleet.Platform().Store().busy_ = false;
  fleet.Platform().Store().historyLost_ = true;
  std::this_thread::sleep_for(std::chrono::milliseconds{ 200 });
  fleet.Platform().Store().historyLost_ = false;
  fleet.Platform().PutConfig(3, "/late/");
  CHECK(
    EntryFleet::Await([&] { return fleet.Get(0, "/late/x").status_ == 200; }));
}

TEST_CASE("a host without a configuration refuses requests and is not ready")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  fleet.Platform().Store().busy_ = true;
  fleet.ProcessOf(0).Kill();
  fleet.Start(0);
  CallerResponse refused;
  REQUIRE(EntryFleet::Await([&] {
    refused = fleet.Get(0, "/safe/x");
    return refused.status_ != 0;
  }));
  CHECK(refused.status_ == 503);
  CHECK(refused.headers_.contains("Retry-After"));
  CHECK_FALSE(fleet.IsReady(0));
  fleet.Platform().Store().busy_ = false;
  CHECK(fleet.AwaitReady(0));
  CHECK(fleet.Get(0, "/safe/x").status_ == 200);
}

TEST_CASE("a host that reports that it is ready knows its engines")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  fleet.ProcessOf(0).Kill();
  fleet.Platform().Store().enginesDelayMs_ = 700;
  fleet.Start(0);
  REQUIRE(fleet.AwaitReady(0));
  INFO(fleet.Log(0));
  CHECK(fleet.Get(0, "/safe/x").status_ == 200);
}

TEST_CASE("changes in quick succession are not read one by one by each host")
{
  constexpr auto kHosts = 4U;
  constexpr auto kChanges = 20U;
  EntryFleet fleet(kHosts);
  const auto serve = [&](const std::string& aPath) {
    for (std::size_t host = 0; host < kHosts; ++host) {
      CHECK(EntryFleet::Await(
        [&] { return fleet.Get(host, aPath).status_ == 200; }));
    }
  };
  serve("/safe/x");
  // By now all hosts have read the tables and wait for changes.
  fleet.Platform().PutConfig(2, "/second/");
  serve("/second/x");
  const auto before = fleet.Platform().Store().calls_.load();
  for (auto change = 0U; change < kChanges; ++change) {
    fleet.Platform().PutConfig(3 + change,
                               "/new" + std::to_string(change) + "/");
    std::this_thread::sleep_for(std::chrono::milliseconds{ 40 });
  }
  serve("/new" + std::to_string(kChanges - 1) + "/x");
  // Only the first reader may make a call for each change; the others make few.
  CHECK(fleet.Platform().Store().calls_ - before < (kHosts - 1) * kChanges);
}

TEST_CASE("a planned stop cuts off no request")
{
  EntryFleet fleet(2);
  REQUIRE(fleet.AwaitReady(0));
  REQUIRE(fleet.AwaitReady(1));
  // Longer than the host would go on serving if no request were in flight.
  for (const auto& engine : fleet.Platform().Engines("desk")) {
    engine->delayMs_ = 1800;
  }
  CallerResponse answer;
  std::thread caller([&] { answer = fleet.Get(1, "/unsafe/x"); });
  std::this_thread::sleep_for(std::chrono::milliseconds{ 200 });
  fleet.ProcessOf(1).Signal(SIGTERM);
  caller.join();
  CHECK(answer.status_ == 200);
  CHECK(answer.whole_);
  CHECK(fleet.ProcessOf(1).Wait() == 0);
  CHECK(EntryFleet::Await(
    [&] { return !fleet.Platform().Store().Has("hosts", "h1"); }));
}

TEST_CASE("a stopping host refuses requests that would not finish in time, and "
          "answers those that are still waiting when it ends")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  // The host ends requests in flight 2 s after SIGTERM.
  fleet.RestartWith(0, "\"grace_s\": 5", "\"grace_s\": 3");
  REQUIRE(fleet.AwaitReady(0));
  for (const auto& engine : fleet.Platform().Engines("desk")) {
    engine->delayMs_ = 8000;
  }
  const auto call = [&](const std::string& aTarget) {
    return fleet.Call(
      0, { .target_ = aTarget,
           .headers_ = { { "Goldcrestcroft-Deadline-Ms", "9000" } } });
  };
  fleet.ProcessOf(0).Signal(SIGTERM);
  CallerResponse early;
  std::thread caller([&] { early = call("/unsafe/early"); });
  std::this_thread::sleep_for(std::chrono::milliseconds{ 1300 });
  const auto late = call("/unsafe/late");
  CHECK(late.status_ == 503);
  CHECK(late.headers_.contains("Retry-After"));
  CHECK(fleet.RunsOf("desk", fleet.LastId()) == 0);
  caller.join();
  CHECK(early.status_ == 502);
  CHECK(early.whole_);
  CHECK(fleet.ProcessOf(0).Wait() == 0);
}

TEST_CASE("a host that stops leaves the directory at once and goes on serving")
{
  EntryFleet fleet(2);
  REQUIRE(fleet.AwaitReady(0));
  // Long enough that the host still serves after it has left the directory.
  fleet.RestartWith(1, "\"directory_keep_s\": 0.3", "\"directory_keep_s\": 1");
  REQUIRE(fleet.AwaitReady(1));
  const auto named = [&] {
    return CountOf(fleet.Directory(0).body_, standins::TestIp());
  };
  REQUIRE(EntryFleet::Await([&] { return named() == 2; }));
  fleet.ProcessOf(1).Signal(SIGTERM);
  CHECK(EntryFleet::Await([&] { return named() == 1; }));
  // Callers that use an older directory response are served.
  CHECK(fleet.Get(1, "/safe/x").status_ == 200);
  CHECK(fleet.ProcessOf(1).Wait() == 0);
}

} // namespace testing

#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <csignal>

namespace testing {

TEST_CASE("settings that change are taken with a signal and without")
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

TEST_CASE("configuration spreads, and an engine that drains gets nothing more")
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

TEST_CASE("hosts serve on without the store, and one that starts asks a peer")
{
  EntryFleet fleet(2);
  REQUIRE(fleet.AwaitReady(0));
  REQUIRE(fleet.AwaitReady(1));
  // A host that nobody has met, and without seeds, could ask nobody.
  REQUIRE(fleet.AwaitAcquainted());
  fleet.Platform().Store().busy_ = true;
  CHECK(fleet.Get(0, "/safe/x").status_ == 200);
  // Without the store it finds the other by the beats that it is sent.
  fleet.ProcessOf(1).Kill();
  fleet.Start(1);
  CHECK(fleet.AwaitReady(1));
  CHECK(fleet.Get(1, "/safe/x").status_ == 200);
  CHECK(fleet.Log(1).find("state_from_peer") != std::string::npos);
  fleet.Platform().Store().busy_ = false;
  fleet.Platform().Store().forgets_ = true;
  std::this_thread::sleep_for(std::chrono::milliseconds{ 200 });
  fleet.Platform().Store().forgets_ = false;
  fleet.Platform().PutConfig(3, "/late/");
  CHECK(
    EntryFleet::Await([&] { return fleet.Get(0, "/late/x").status_ == 200; }));
}

TEST_CASE("a host that knows no configuration refuses, and is not ready")
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

TEST_CASE("a host that says it is ready knows its engines")
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

TEST_CASE("changes that come together are not read by each host one by one")
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
  // All have read the tables and ask for changes by now.
  fleet.Platform().PutConfig(2, "/second/");
  serve("/second/x");
  const auto before = fleet.Platform().Store().calls_.load();
  for (auto change = 0U; change < kChanges; ++change) {
    fleet.Platform().PutConfig(3 + change,
                               "/new" + std::to_string(change) + "/");
    std::this_thread::sleep_for(std::chrono::milliseconds{ 40 });
  }
  serve("/new" + std::to_string(kChanges - 1) + "/x");
  // The first reader's calls, and few of the others.
  CHECK(fleet.Platform().Store().calls_ - before < (kHosts - 1) * kChanges);
}

TEST_CASE("a planned stop cuts nothing")
{
  EntryFleet fleet(2);
  REQUIRE(fleet.AwaitReady(0));
  REQUIRE(fleet.AwaitReady(1));
  // Longer than the host would serve without a request under way.
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

TEST_CASE("a stopping host refuses what would not end before it does, and "
          "answers what still waits at its end")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  // It ends what runs 2 s after SIGTERM.
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

TEST_CASE("a host that stops leaves the directory at once and serves on")
{
  EntryFleet fleet(2);
  REQUIRE(fleet.AwaitReady(0));
  // Long enough that it still serves when it has left the directory.
  fleet.RestartWith(1, "\"directory_keep_s\": 0.3", "\"directory_keep_s\": 1");
  REQUIRE(fleet.AwaitReady(1));
  const auto named = [&] {
    return CountOf(fleet.Directory(0).body_, "127.0.0.1");
  };
  REQUIRE(EntryFleet::Await([&] { return named() == 2; }));
  fleet.ProcessOf(1).Signal(SIGTERM);
  CHECK(EntryFleet::Await([&] { return named() == 1; }));
  // Callers that keep an older answer are served.
  CHECK(fleet.Get(1, "/safe/x").status_ == 200);
  CHECK(fleet.ProcessOf(1).Wait() == 0);
}

} // namespace testing

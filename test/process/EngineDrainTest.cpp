#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

using Trouble = standins::EngineStandin::Trouble;

/** An idempotent request whose stages run first. */
constexpr auto kStream = "/stream/x";

} // namespace

TEST_CASE(
  "an engine that reports draining in a response gets no more requests, "
  "also from hosts that it did not respond to")
{
  EntryFleet fleet(2);
  REQUIRE(fleet.AwaitReady(0));
  REQUIRE(fleet.AwaitReady(1));
  REQUIRE(fleet.AwaitDiscovery());
  auto& draining = *fleet.Platform().Engines("desk")[0];
  draining.leaving_ = true;
  const auto reachesDraining = [&] {
    fleet.Get(0, "/safe/x");
    return draining.ReceivedCount() > 0;
  };
  REQUIRE(EntryFleet::Await(reachesDraining));
  // Its entry, written again, still states that it is ready.
  fleet.Platform().Store().Put("servers", draining.Id(),
                               draining.Entry("desk"));
  CHECK(EntryFleet::Await([&] {
    return fleet.Log(1).find("engine_leaving_elsewhere") != std::string::npos;
  }));
  // Let requests that are under way finish.
  std::this_thread::sleep_for(std::chrono::milliseconds{ 200 });
  const auto before = draining.ReceivedCount();
  for (auto i = 0; i < 20; ++i) {
    for (const std::size_t host : { 0, 1 }) {
      CHECK(fleet.Get(host, "/safe/x").status_ == 200);
    }
  }
  CHECK(draining.ReceivedCount() == before);
  // All engines drain: requests are refused and nothing is sent.
  for (const auto& engine : fleet.Platform().Engines("desk")) {
    engine->leaving_ = true;
  }
  REQUIRE(
    EntryFleet::Await([&] { return fleet.Get(0, "/safe/x").status_ == 503; }));
  CHECK(draining.ReceivedCount() == before);
  // A restarted engine is a new incarnation with the same id.
  draining.leaving_ = false;
  draining.Restart();
  fleet.Platform().Store().Put("servers", draining.Id(),
                               draining.Entry("desk"));
  CHECK(
    EntryFleet::Await([&] { return fleet.Get(0, "/safe/x").status_ == 200; }));
}

TEST_CASE(
  "an engine that requests a backoff gets no requests until the backoff "
  "ends, and callers receive a Retry-After header")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  const auto& engines = fleet.Platform().Engines("desk");
  for (const auto& engine : engines) {
    engine->trouble_ = Trouble::Full;
    engine->retryAfterS_ = 3;
  }
  const auto startedAt = std::chrono::steady_clock::now();
  CHECK(fleet.Get(0, "/safe/x").status_ == 503);
  const auto reached = [&] {
    std::size_t sum = 0;
    for (const auto& engine : engines) {
      sum += engine->ReceivedCount();
    }
    return sum;
  };
  const auto sent = reached();
  CHECK(sent == engines.size());
  for (const auto& engine : engines) {
    engine->trouble_ = Trouble::None;
  }
  const auto refused = fleet.Get(0, "/safe/x");
  const auto pause = std::chrono::seconds{ 3 };
  const auto withinPause = std::chrono::steady_clock::now() - startedAt < pause;
  if (withinPause) {
    CHECK(refused.status_ == 503);
    CHECK(std::stod(refused.headers_.at("Retry-After")) > 1.0);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds{ 1500 });
  fleet.Get(0, "/safe/x");
  if (std::chrono::steady_clock::now() - startedAt < pause) {
    CHECK(reached() == sent);
  }
  CHECK(
    EntryFleet::Await([&] { return fleet.Get(0, "/safe/x").status_ == 200; }));
}

TEST_CASE("a draining stage engine gets no calls and no releases; its pieces "
          "go to others")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  REQUIRE(fleet.Get(0, kStream).status_ == 200);
  const auto& engines = fleet.Platform().Engines("cutter");
  REQUIRE(engines.size() > 1);
  engines[0]->leaving_ = true;
  REQUIRE(EntryFleet::Await([&] {
    fleet.Get(0, kStream);
    return fleet.Log(0).find("engine_leaving") != std::string::npos;
  }));
  std::this_thread::sleep_for(std::chrono::milliseconds{ 300 });
  const auto before = engines[0]->ReceivedCount();
  for (auto i = 0; i < 10; ++i) {
    CHECK(fleet.Get(0, kStream).status_ == 200);
  }
  CHECK(engines[0]->ReceivedCount() == before);
}

} // namespace testing

#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

using Trouble = standins::EngineStandin::Trouble;

/** A request that may be repeated and whose stages are made first. */
constexpr auto kStream = "/stream/x";

} // namespace

TEST_CASE("an engine that says in an answer that it leaves gets nothing more, "
          "also from hosts that it did not answer")
{
  EntryFleet fleet(2);
  REQUIRE(fleet.AwaitReady(0));
  REQUIRE(fleet.AwaitReady(1));
  REQUIRE(fleet.AwaitAcquainted());
  auto& leaving = *fleet.Platform().Engines("desk")[0];
  leaving.leaving_ = true;
  const auto met = [&] {
    fleet.Get(0, "/safe/x");
    return leaving.Reached() > 0;
  };
  REQUIRE(EntryFleet::Await(met));
  // Its entry, written again, says that it is ready.
  fleet.Platform().Store().Put("servers", leaving.Id(), leaving.Entry("desk"));
  CHECK(EntryFleet::Await([&] {
    return fleet.Log(1).find("engine_leaving_elsewhere") != std::string::npos;
  }));
  // Beyond what was under way.
  std::this_thread::sleep_for(std::chrono::milliseconds{ 200 });
  const auto before = leaving.Reached();
  for (auto i = 0; i < 20; ++i) {
    for (const std::size_t host : { 0, 1 }) {
      CHECK(fleet.Get(host, "/safe/x").status_ == 200);
    }
  }
  CHECK(leaving.Reached() == before);
  // The last one that is left leaves as well: refused, nothing is sent.
  for (const auto& engine : fleet.Platform().Engines("desk")) {
    engine->leaving_ = true;
  }
  REQUIRE(
    EntryFleet::Await([&] { return fleet.Get(0, "/safe/x").status_ == 503; }));
  CHECK(leaving.Reached() == before);
  // Started again it is another engine, though its id is the same.
  leaving.leaving_ = false;
  leaving.Restart();
  fleet.Platform().Store().Put("servers", leaving.Id(), leaving.Entry("desk"));
  CHECK(
    EntryFleet::Await([&] { return fleet.Get(0, "/safe/x").status_ == 200; }));
}

TEST_CASE("an engine that asks to be left alone gets nothing for so long, and "
          "callers hear when to come back")
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
      sum += engine->Reached();
    }
    return sum;
  };
  const auto asked = reached();
  CHECK(asked == engines.size());
  for (const auto& engine : engines) {
    engine->trouble_ = Trouble::None;
  }
  const auto refused = fleet.Get(0, "/safe/x");
  const auto pause = std::chrono::seconds{ 3 };
  const auto within = std::chrono::steady_clock::now() - startedAt < pause;
  if (within) {
    CHECK(refused.status_ == 503);
    CHECK(std::stod(refused.headers_.at("Retry-After")) > 1.0);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds{ 1500 });
  fleet.Get(0, "/safe/x");
  if (std::chrono::steady_clock::now() - startedAt < pause) {
    CHECK(reached() == asked);
  }
  CHECK(
    EntryFleet::Await([&] { return fleet.Get(0, "/safe/x").status_ == 200; }));
}

TEST_CASE("a stage engine that leaves, or asks for a pause, gets no calls and "
          "no releases; its pieces go to others")
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
  const auto before = engines[0]->Reached();
  for (auto i = 0; i < 10; ++i) {
    CHECK(fleet.Get(0, kStream).status_ == 200);
  }
  CHECK(engines[0]->Reached() == before);
}

} // namespace testing

#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace testing {

namespace {

using Trouble = standins::EngineStandin::Trouble;

/** \brief Checks that the request is refused with Retry-After, and that no
 * engine ran it. */
auto CheckRefusedNotRun(EntryFleet& aFleet) -> void
{
  const auto refused =
    aFleet.Call(0, { .method_ = "POST", .target_ = "/unsafe/x" });
  CHECK(refused.status_ == 503);
  CHECK(refused.headers_.contains("Retry-After"));
  CHECK(aFleet.RunsOf("desk", aFleet.LastId()) == 0);
}

} // namespace

TEST_CASE("a request that may have run is retried only if it is idempotent")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  for (const auto trouble :
       { Trouble::Drops, Trouble::Truncates, Trouble::Unsigned }) {
    CAPTURE(static_cast<int>(trouble));
    fleet.Platform().SetFaultMode("desk", trouble);
    const auto lost =
      fleet.Call(0, { .method_ = "POST", .target_ = "/unsafe/x" });
    CHECK(lost.status_ == 502);
    CHECK(fleet.RunsOf("desk", fleet.LastId()) == 1);
    const auto repeated = fleet.Get(0, "/safe/x");
    CHECK(repeated.status_ == 502);
    CHECK(fleet.RunsOf("desk", fleet.LastId()) == 2);
    // Failures in a row suspend engines; a success clears them.
    fleet.Platform().SetFaultMode("desk", Trouble::None);
    CHECK(EntryFleet::Await(
      [&] { return fleet.Get(0, "/safe/x").status_ == 200; }));
    CHECK(EntryFleet::Await(
      [&] { return fleet.Get(0, "/safe/x").status_ == 200; }));
  }
}

TEST_CASE("suspended engines are tried before a request is refused")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  fleet.Platform().SetFaultMode("desk", Trouble::Fails);
  for (auto i = 0; i < 6; ++i) {
    CHECK(
      fleet.Call(0, { .method_ = "POST", .target_ = "/unsafe/x" }).status_ ==
      500);
  }
  fleet.Platform().SetFaultMode("desk", Trouble::None);
  CHECK(fleet.Call(0, { .method_ = "POST", .target_ = "/unsafe/x" }).status_ ==
        200);
}

TEST_CASE("a refusal has Retry-After, and the request has not run")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  fleet.Platform().SetFaultMode("desk", Trouble::Full);
  CheckRefusedNotRun(fleet);
}

TEST_CASE("an engine that reuses another's address does not run the request")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  auto& replaced = *fleet.Platform().Engines("desk")[0];
  replaced.Replace("i-another");
  // It surely did not run there, so even requests that are not idempotent go to
  // the other engine.
  for (auto i = 0; i < 4; ++i) {
    CHECK(
      fleet.Call(0, { .method_ = "POST", .target_ = "/unsafe/x" }).status_ ==
      200);
    CHECK(fleet.RunsOf("desk", fleet.LastId()) == 1);
  }
  CHECK(replaced.Runs().empty());
}

TEST_CASE("an engine receives the time that the caller has left")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  constexpr auto kDelay = 300;
  constexpr auto kDeadline = 2500;
  for (const auto& engine : fleet.Platform().Engines("desk")) {
    engine->delayMs_ = kDelay;
  }
  fleet.Platform().SetFaultMode("desk", Trouble::Drops);
  fleet.Get(0, "/safe/x");
  std::vector<int> deadlines;
  for (const auto& engine : fleet.Platform().Engines("desk")) {
    const auto text = engine->LastHeader("Goldcrestcroft-Deadline-Ms");
    REQUIRE_FALSE(text.empty());
    deadlines.push_back(std::stoi(text));
  }
  std::sort(deadlines.begin(), deadlines.end());
  CHECK(deadlines[1] <= kDeadline);
  CHECK(deadlines[0] <= kDeadline - kDelay);
}

TEST_CASE("a slow engine is not abandoned if no other can take the request")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  auto& engines = fleet.Platform().Engines("desk");
  fleet.Platform().Store().Put("servers", engines[1]->Id(),
                               engines[1]->Entry("desk", "draining"));
  CHECK(EntryFleet::Await([&] {
    return fleet.Log(0).find("\"engine\":\"" + engines[1]->Id() +
                             "\",\"state\":\"draining\"") != std::string::npos;
  }));
  // Longer than the share of the time that the first of two engines gets.
  engines[0]->delayMs_ = 1600;
  CHECK(fleet.Get(0, "/safe/x").status_ == 200);
  CHECK(fleet.RunsOf("desk", fleet.LastId()) == 1);
}

TEST_CASE("responses to other requests are not delivered, error responses are")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  fleet.Platform().SetFaultMode("desk", Trouble::Stray);
  const auto own = fleet.Get(0, "/safe/x");
  CHECK(own.body_ == "answer to " + fleet.LastId() + " ");
  fleet.Platform().SetFaultMode("desk", Trouble::Fails);
  const auto failed =
    fleet.Call(0, { .method_ = "POST", .target_ = "/unsafe/x" });
  CHECK(failed.status_ == 500);
  CHECK(failed.headers_.contains("Goldcrestcroft-Server-Seal"));
}

TEST_CASE("a broken stream continues on another engine only if it is resumable")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  auto& engines = fleet.Platform().Engines("model");
  engines[0]->trouble_ = Trouble::Truncates;
  auto resumed = 0;
  for (auto i = 0; i < 8; ++i) {
    const auto stream =
      fleet.Call(0, { .target_ = "/stream/x",
                      .headers_ = { { "Goldcrestcroft-Prefix-Hash",
                                      std::to_string(i) + ":10,f:5" } } });
    CHECK(stream.whole_);
    CHECK(CountOf(stream.body_, "id: ") == 6);
    CHECK(CountOf(stream.body_, "data: " + fleet.LastId()) == 6);
    resumed += fleet.RunsOf("model", fleet.LastId()) == 2 ? 1 : 0;
  }
  CHECK(resumed > 0);
  fleet.Platform().SetFaultMode("model", Trouble::Truncates);
  const auto broken = fleet.Get(0, "/once/stream/x");
  CHECK_FALSE(broken.whole_);
  CHECK(fleet.RunsOf("model", fleet.LastId()) == 1);
}

TEST_CASE("an engine at its connection limit has not received the request")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  for (const auto& engine : fleet.Platform().Engines("desk")) {
    engine->SetMaxConnections(0);
  }
  CheckRefusedNotRun(fleet);
  for (const auto& engine : fleet.Platform().Engines("desk")) {
    engine->SetMaxConnections(1);
  }
  // The engine was not suspended for that.
  CHECK(fleet.Call(0, { .method_ = "POST", .target_ = "/unsafe/x" }).status_ ==
        200);
}

TEST_CASE("pieces wait for full stage engines instead of failing")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  // As after a restart of all hosts, when several of them coordinate the
  // batches of one service.
  fleet.Platform().SetFaultMode("cutter", Trouble::Full);
  fleet.Platform().SetFaultMode("ranker", Trouble::Full);
  std::thread relief([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds{ 400 });
    fleet.Platform().SetFaultMode("cutter", Trouble::None);
    fleet.Platform().SetFaultMode("ranker", Trouble::None);
  });
  const auto stream = fleet.Get(0, "/stream/x");
  relief.join();
  CAPTURE(fleet.Log(0));
  CHECK(stream.status_ == 200);
  CHECK(stream.whole_);
}

TEST_CASE("results are kept while the engine that needs them refuses the call")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  const auto held = [&] {
    std::size_t results = 0;
    for (const auto& engine : fleet.Platform().Engines("cutter")) {
      results += engine->ResultsHeld();
    }
    return results;
  };
  fleet.Platform().SetFaultMode("ranker", Trouble::Full);
  CallerResponse stream;
  std::thread caller([&] { stream = fleet.Get(0, "/stream/x"); });
  CHECK(EntryFleet::Await([&] { return held() == 2; }));
  // Several times as long as an engine takes to fetch them for a call.
  std::this_thread::sleep_for(std::chrono::milliseconds{ 400 });
  CHECK(held() == 2);
  fleet.Platform().SetFaultMode("ranker", Trouble::None);
  caller.join();
  CHECK(stream.whole_);
  CHECK(EntryFleet::Await([&] { return held() == 0; }));
}

} // namespace testing

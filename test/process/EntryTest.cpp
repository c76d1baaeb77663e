#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <csignal>

namespace testing {

namespace {

using Trouble = standins::EngineStandin::Trouble;

auto RunsOf(EntryFleet& aFleet, const std::string& aService,
            const std::string& aId) -> int
{
  auto runs = 0;
  for (const auto& engine : aFleet.Platform().Engines(aService)) {
    runs += engine->Runs()[aId];
  }
  return runs;
}

auto Count(const std::string& aText, const std::string& aPart) -> int
{
  auto count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

TEST_CASE("entry hosts serve plain requests and streams with stages")
{
  EntryFleet fleet(3);
  for (std::size_t host = 0; host < 3; ++host) {
    REQUIRE(fleet.AwaitReady(host));
    const auto plain = fleet.Get(host, "/safe/x");
    CHECK(plain.status_ == 200);
    CHECK(plain.whole_);
    CHECK(plain.body_ == "answer to " + fleet.LastId() + " ");
    CHECK(plain.headers_.at("Goldcrestcroft-Server-Seal")
            .starts_with("signed-by-"));
    const auto posted =
      fleet.Call(host, { .method_ = "POST",
                         .target_ = "/unsafe/x?y=1",
                         .headers_ = { { "Goldcrestcroft-Tenant", "forged" },
                                       { "Kv-From", "forged" } },
                         .body_ = "body" });
    CHECK(posted.body_ == "answer to " + fleet.LastId() + " body");
    const auto stream = fleet.Get(host, "/stream/x");
    CHECK(stream.status_ == 200);
    CHECK(stream.whole_);
    CHECK(Count(stream.body_, "data: " + fleet.LastId()) == 6);
  }
  // The key stays here, the workspace is the key's, forged headers are gone.
  auto workspaces = 0;
  for (const auto& engine : fleet.Platform().Engines("desk")) {
    CHECK(engine->LastHeader("X-Api-Key").empty());
    CHECK(engine->LastHeader("Kv-From").empty());
    workspaces += engine->LastHeader("Goldcrestcroft-Tenant") == "w1" ? 1 : 0;
  }
  CHECK(workspaces > 0);
  // Two and three pieces for each of three streams, and all are released.
  auto held = [&](const std::string& aService) {
    std::size_t results = 0;
    for (const auto& engine : fleet.Platform().Engines(aService)) {
      results += engine->ResultsHeld();
    }
    return results;
  };
  auto pieces = std::size_t{ 0 };
  for (const auto& engine : fleet.Platform().Engines("ranker")) {
    pieces += engine->PiecesRun();
  }
  CHECK(pieces == 9);
  const auto released =
    EntryFleet::Await([&] { return held("cutter") + held("ranker") == 0; });
  CAPTURE(held("cutter"));
  CAPTURE(held("ranker"));
  CAPTURE(fleet.Log(0));
  CHECK(released);
}

TEST_CASE("bad input gets its status at once and nothing is sent on")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  CHECK(fleet.Get(0, "/nowhere").status_ == 404);
  CHECK(
    fleet.Call(0, { .target_ = "/safe/", .headers_ = { { "X-Api-Key", "k" } } })
      .status_ == 401);
  CHECK(fleet
          .Call(0, { .target_ = "/safe/",
                     .headers_ = { { "Goldcrestcroft-Request-Id", "" } } })
          .status_ == 400);
  CHECK(fleet
          .Call(0, { .target_ = "/safe/",
                     .headers_ = { { "X-Long", std::string(9000, 'x') } } })
          .status_ == 431);
  CHECK(fleet
          .Call(0, { .method_ = "POST",
                     .target_ = "/unsafe/",
                     .body_ = std::string(200'000, 'x') })
          .status_ == 413);
  const auto raw = [&](const std::string& aText) {
    return fleet.Call(0, { .raw_ = aText }).status_;
  };
  CHECK(raw("nonsense\r\n\r\n") == 400);
  CHECK(raw("POST /unsafe/ HTTP/1.1\r\nContent-Length: -5\r\n\r\n") == 400);
  CHECK(raw("POST /unsafe/ HTTP/1.1\r\nContent-Length: 3\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == 400);
  CHECK(raw("POST /unsafe/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            "ffffffffffffffffff\r\nx") == 400);
  for (const auto& engine : fleet.Platform().Engines("desk")) {
    CHECK(engine->Runs().empty());
  }
  CHECK(fleet.Log(0).find("\"reason\":\"header_too_large\"") !=
        std::string::npos);
}

TEST_CASE("what may have run is not run again unless it is idempotent")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  for (const auto trouble :
       { Trouble::Drops, Trouble::Cuts, Trouble::Unsigned }) {
    CAPTURE(static_cast<int>(trouble));
    fleet.Platform().SetTrouble("desk", trouble);
    const auto lost =
      fleet.Call(0, { .method_ = "POST", .target_ = "/unsafe/x" });
    CHECK(lost.status_ == 502);
    CHECK(RunsOf(fleet, "desk", fleet.LastId()) == 1);
    const auto repeated = fleet.Get(0, "/safe/x");
    CHECK(repeated.status_ == 502);
    CHECK(RunsOf(fleet, "desk", fleet.LastId()) == 2);
    // Failures in a row suspend engines; a success clears them.
    fleet.Platform().SetTrouble("desk", Trouble::None);
    CHECK(EntryFleet::Await(
      [&] { return fleet.Get(0, "/safe/x").status_ == 200; }));
    CHECK(EntryFleet::Await(
      [&] { return fleet.Get(0, "/safe/x").status_ == 200; }));
  }
}

TEST_CASE("engines that fail at times are asked before a request is refused")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  fleet.Platform().SetTrouble("desk", Trouble::Fails);
  for (auto i = 0; i < 6; ++i) {
    CHECK(
      fleet.Call(0, { .method_ = "POST", .target_ = "/unsafe/x" }).status_ ==
      500);
  }
  fleet.Platform().SetTrouble("desk", Trouble::None);
  CHECK(fleet.Call(0, { .method_ = "POST", .target_ = "/unsafe/x" }).status_ ==
        200);
}

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

TEST_CASE("when a caller leaves, its engine is let go and no other is asked")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  for (const auto& engine : fleet.Platform().Engines("desk")) {
    engine->delayMs_ = 600;
  }
  for (const auto* target : { "/safe/x", "/unsafe/x" }) {
    CAPTURE(target);
    const auto abandoned = [&] {
      std::size_t count = 0;
      for (const auto& engine : fleet.Platform().Engines("desk")) {
        count += engine->Abandoned();
      }
      return count;
    };
    const auto before = abandoned();
    const auto left = fleet.Leave(0, { .target_ = target });
    CHECK(EntryFleet::Await([&] { return abandoned() == before + 1; }));
    CHECK(RunsOf(fleet, "desk", left) == 1);
  }
}

TEST_CASE("an idle connection makes room for a new one, a busy one does not")
{
  EntryFleet fleet(1);
  fleet.ChangeSettings(0, "\"grace_s\": 5",
                       "\"grace_s\": 5, \"most_callers\": 3");
  fleet.ProcessOf(0).Kill();
  fleet.Start(0);
  REQUIRE(fleet.AwaitReady(0));
  const auto idle = fleet.OpenConnections(0, 6);
  CHECK(fleet.Get(0, "/safe/x").status_ == 200);
  for (const auto& engine : fleet.Platform().Engines("desk")) {
    engine->delayMs_ = 500;
  }
  std::vector<CallerAnswer> answers(3);
  std::vector<std::thread> callers;
  callers.reserve(answers.size());
  for (auto& answer : answers) {
    callers.emplace_back([&] {
      answer = SendCall(fleet.CallerAddress(0), fleet.MakeCall("/unsafe/x"));
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  for (const auto& answer : answers) {
    CHECK(answer.status_ == 200);
  }
}

TEST_CASE("a refusal says when to come back and is true")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  fleet.Platform().SetTrouble("desk", Trouble::Full);
  const auto refused =
    fleet.Call(0, { .method_ = "POST", .target_ = "/unsafe/x" });
  CHECK(refused.status_ == 503);
  CHECK(refused.headers_.contains("Retry-After"));
  CHECK(RunsOf(fleet, "desk", fleet.LastId()) == 0);
}

TEST_CASE("answers to others and engines' own failures are told apart")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  fleet.Platform().SetTrouble("desk", Trouble::Stray);
  const auto own = fleet.Get(0, "/safe/x");
  CHECK(own.body_ == "answer to " + fleet.LastId() + " ");
  fleet.Platform().SetTrouble("desk", Trouble::Fails);
  const auto failed =
    fleet.Call(0, { .method_ = "POST", .target_ = "/unsafe/x" });
  CHECK(failed.status_ == 500);
  CHECK(failed.headers_.contains("Goldcrestcroft-Server-Seal"));
}

TEST_CASE("a broken stream goes on elsewhere only where it may be resumed")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  auto& engines = fleet.Platform().Engines("model");
  engines[0]->trouble_ = Trouble::Cuts;
  auto resumed = 0;
  for (auto i = 0; i < 8; ++i) {
    const auto stream =
      fleet.Call(0, { .target_ = "/stream/x",
                      .headers_ = { { "Goldcrestcroft-Prefix-Hash",
                                      std::to_string(i) + ":10,f:5" } } });
    CHECK(stream.whole_);
    CHECK(Count(stream.body_, "id: ") == 6);
    CHECK(Count(stream.body_, "data: " + fleet.LastId()) == 6);
    resumed += RunsOf(fleet, "model", fleet.LastId()) == 2 ? 1 : 0;
  }
  CHECK(resumed > 0);
  fleet.Platform().SetTrouble("model", Trouble::Cuts);
  const auto broken = fleet.Get(0, "/once/stream/x");
  CHECK_FALSE(broken.whole_);
  CHECK(RunsOf(fleet, "model", fleet.LastId()) == 1);
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

TEST_CASE("a planned stop cuts nothing and leaves the directory at once")
{
  EntryFleet fleet(2);
  REQUIRE(fleet.AwaitReady(0));
  REQUIRE(fleet.AwaitReady(1));
  REQUIRE(EntryFleet::Await(
    [&] { return Count(fleet.Directory(0).body_, "127.0.0.1") == 2; }));
  for (const auto& engine : fleet.Platform().Engines("desk")) {
    engine->delayMs_ = 800;
  }
  CallerAnswer answer;
  std::thread caller([&] { answer = fleet.Get(1, "/unsafe/x"); });
  std::this_thread::sleep_for(std::chrono::milliseconds{ 200 });
  fleet.ProcessOf(1).Signal(SIGTERM);
  CHECK(EntryFleet::Await(
    [&] { return Count(fleet.Directory(0).body_, "127.0.0.1") == 1; }));
  caller.join();
  CHECK(answer.status_ == 200);
  CHECK(answer.whole_);
  CHECK(fleet.ProcessOf(1).Wait() == 0);
  CHECK(EntryFleet::Await(
    [&] { return !fleet.Platform().Store().Has("hosts", "h1"); }));
}

} // namespace testing

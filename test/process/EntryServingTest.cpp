#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace testing {

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
    CHECK(CountOf(stream.body_, "data: " + fleet.LastId()) == 6);
  }
  // The API key is not forwarded, the workspace is that of the key, and forged
  // headers are dropped.
  auto workspaces = 0;
  for (const auto& engine : fleet.Platform().Engines("desk")) {
    CHECK(engine->LastHeader("X-Api-Key").empty());
    CHECK(engine->LastHeader("Kv-From").empty());
    if (!engine->Runs().empty()) {
      CHECK(engine->LastHeader("Goldcrestcroft-Expect-Instance") ==
            engine->Id());
    }
    workspaces += engine->LastHeader("Goldcrestcroft-Tenant") == "w1" ? 1 : 0;
  }
  CHECK(workspaces > 0);
  // Two and three pieces for each of three streams; all results are released.
  auto held = [&](const std::string& aService) {
    std::size_t results = 0;
    for (const auto& engine : fleet.Platform().Engines(aService)) {
      results += engine->ResultsHeld();
    }
    return results;
  };
  CAPTURE(fleet.Log(0));
  CAPTURE(fleet.Log(1));
  CAPTURE(fleet.Log(2));
  auto pieces = std::size_t{ 0 };
  for (const auto& engine : fleet.Platform().Engines("ranker")) {
    pieces += engine->PiecesRun();
  }
  CHECK(pieces == 9);
  const auto released =
    EntryFleet::Await([&] { return held("cutter") + held("ranker") == 0; });
  CAPTURE(held("cutter"));
  CAPTURE(held("ranker"));
  CHECK(released);
}

TEST_CASE("invalid input is rejected with its status and is not forwarded")
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

TEST_CASE("when a caller leaves, its engine is released and no other is tried")
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
    CHECK(fleet.RunsOf("desk", left) == 1);
  }
}

TEST_CASE("the connection that has been idle longest is closed for a new one")
{
  EntryFleet fleet(1);
  fleet.RestartWith(0, "\"grace_s\": 5", "\"grace_s\": 5, \"most_callers\": 8");
  REQUIRE(fleet.AwaitReady(0));
  const auto old = fleet.OpenConnections(0, 8);
  // Each new connection finds the limit reached and has sent nothing yet when
  // the next one comes.
  const auto fresh = fleet.OpenConnections(0, 8);
  REQUIRE(EntryFleet::Await([&] {
    return std::all_of(old.begin(), old.end(), [](const auto& aSocket) {
      return goldcrestcroft::ProbeIdle(*aSocket) ==
             goldcrestcroft::IdleState::Closed;
    });
  }));
  for (const auto& socket : fresh) {
    CHECK(goldcrestcroft::ProbeIdle(*socket) ==
          goldcrestcroft::IdleState::Quiet);
  }
}

TEST_CASE("an idle connection is closed for a new one, a busy one is not")
{
  EntryFleet fleet(1);
  fleet.RestartWith(0, "\"grace_s\": 5", "\"grace_s\": 5, \"most_callers\": 3");
  REQUIRE(fleet.AwaitReady(0));
  const auto idle = fleet.OpenConnections(0, 6);
  CHECK(fleet.Get(0, "/safe/x").status_ == 200);
  for (const auto& engine : fleet.Platform().Engines("desk")) {
    engine->delayMs_ = 500;
  }
  std::vector<CallerResponse> answers(3);
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

} // namespace testing

#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

using Trouble = standins::EngineStandin::Trouble;

auto SetRepeatsId(EntryFleet& aFleet, const std::string& aService,
                  bool aRepeats) -> void
{
  for (const auto& engine : aFleet.Platform().Engines(aService)) {
    engine->duplicateHasId_ = aRepeats;
  }
}

} // namespace

TEST_CASE(
  "a second copy of an earlier refusal is not taken for the response to a "
  "request that runs")
{
  for (const auto repeatsId : { true, false }) {
    EntryFleet fleet(1);
    REQUIRE(fleet.AwaitReady(0));
    SetRepeatsId(fleet, "desk", repeatsId);
    for (auto round = 0; round < 10; ++round) {
      fleet.Platform().SetFaultMode("desk", Trouble::Full);
      CHECK(fleet.Get(0, "/unsafe/x").status_ == 503);
      // Each engine sends its refusal again before its next response.
      fleet.Platform().SetFaultMode("desk", Trouble::Duplicates);
      CAPTURE(repeatsId);
      CAPTURE(round);
      CallerResponse answer;
      REQUIRE(EntryFleet::Await([&] {
        answer = fleet.Get(0, "/unsafe/x");
        return fleet.RunsOf("desk", fleet.LastId()) > 0;
      }));
      CHECK(answer.status_ == 200);
      CHECK(answer.body_.find(fleet.LastId() + " ") != std::string::npos);
      CHECK(fleet.RunsOf("desk", fleet.LastId()) == 1);
    }
  }
}

TEST_CASE("a second copy of an engine's earlier refusal does not cause pieces "
          "to be produced twice")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  const auto piecesRun = [&] {
    std::size_t pieces = 0;
    for (const auto* service : { "cutter", "ranker" }) {
      for (const auto& engine : fleet.Platform().Engines(service)) {
        pieces += engine->PiecesRun();
      }
    }
    return pieces;
  };
  for (auto round = 0; round < 5; ++round) {
    for (const auto* service : { "cutter", "ranker" }) {
      fleet.Platform().SetFaultMode(service, Trouble::Full);
    }
    fleet.Get(0, "/stream/x");
    for (const auto* service : { "cutter", "ranker" }) {
      fleet.Platform().SetFaultMode(service, Trouble::Duplicates);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{ 1500 });
    const auto before = piecesRun();
    const auto answer = fleet.Get(0, "/stream/x");
    CAPTURE(round);
    CHECK(answer.status_ == 200);
    CHECK(answer.whole_);
    // Two pieces of the first stage and three of the second.
    CHECK(piecesRun() - before == 5);
  }
}

} // namespace testing

#include "CutOffFleet.h"

#include <doctest/doctest.h>

namespace testing {

TEST_CASE("hosts that all lack links to engines refuse as not run, at once")
{
  for (const auto kind : { CutKind::Refuse, CutKind::Hang }) {
    CAPTURE(static_cast<int>(kind));
    CutOffFleet cuttable(2, 2, kind);
    auto& fleet = cuttable.Fleet();
    REQUIRE(cuttable.AwaitServing(2));
    cuttable.Cut();
    // The first refusals may follow attempts on connections that are cut.
    CHECK(EntryFleet::Await(
      [&] { return fleet.Get(0, "/safe/x").status_ == 503; }));
    for (const std::size_t host : { 0, 1 }) {
      const auto response = fleet.Call(
        host, { .method_ = "POST", .target_ = "/unsafe/x", .body_ = "x" });
      CHECK(response.status_ == 503);
      CHECK(fleet.RunsOf("desk", fleet.LastId()) == 0);
    }
    cuttable.Restore();
    CHECK(EntryFleet::Await(
      [&] { return fleet.Get(0, "/safe/x").status_ == 200; }));
  }
}

} // namespace testing

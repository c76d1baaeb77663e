#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

TEST_CASE("a request with a header that no stage call can carry is rejected, "
          "and stage engines continue to serve")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  for (auto i = 0; i < 6; ++i) {
    for (const auto* header :
         { "Goldcrestcroft-Piece-Key", "Goldcrestcroft-Request-Id" }) {
      const auto malformed = fleet.Call(
        0, { .target_ = "/stream/x", .headers_ = { { header, "\xff\xfe" } } });
      CHECK(malformed.status_ == 400);
    }
  }
  for (auto i = 0; i < 6; ++i) {
    const auto stream = fleet.Get(0, "/stream/x");
    CHECK(stream.status_ == 200);
    CHECK(stream.whole_);
  }
}

} // namespace testing

#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

TEST_CASE("a time left that is no number ends a request at once")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  for (const auto* left : { "nan", "-nan", "inf", "1e400", "-5", "1e300" }) {
    CAPTURE(left);
    const auto answer =
      fleet.Call(0, { .target_ = "/safe/x",
                      .headers_ = { { "Goldcrestcroft-Deadline-Ms", left } } });
    CHECK(answer.status_ == 200);
  }
}

} // namespace testing

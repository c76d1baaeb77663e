#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

TEST_CASE("a request whose remaining time is not a sensible number is served")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  for (const auto* left : { "nan", "-nan", "inf", "1e400", "-5", "1e300" }) {
    CAPTURE(left);
    const auto response =
      fleet.Call(0, { .target_ = "/safe/x",
                      .headers_ = { { "Goldcrestcroft-Deadline-Ms", left } } });
    CHECK(response.status_ == 200);
  }
}

} // namespace testing

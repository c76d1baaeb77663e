#include "RestartingFleet.h"

#include <doctest/doctest.h>

namespace testing {

TEST_CASE("busy new hosts: a rolling restart without the store does not "
          "overload added hosts that are busy, so that they suspect others")
{
  for (const auto down : { 1000, 2500 }) {
    for (const auto handling : { 1, 5 }) {
      for (const auto seed : { 1U, 2U }) {
        RestartingFleet fleet({ .handling_ = milliseconds{ handling },
                                .addedHandling_ = milliseconds{ 14 },
                                .down_ = milliseconds{ down },
                                .seed_ = seed });
        fleet.Run(seconds{ 2 });
        fleet.RestartAll();
        fleet.Run(seconds{ 28 });
        CAPTURE(down);
        CAPTURE(handling);
        CAPTURE(seed);
        INFO("changes of a host in a second: ", fleet.MostChanges());
        CHECK(fleet.WronglyDropped() == 0);
        CHECK(fleet.Missing() == 0);
      }
    }
  }
}

} // namespace testing

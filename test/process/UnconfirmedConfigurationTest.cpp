#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

TEST_CASE(
  "a host that reaches neither the store nor a peer does not stay ready "
  "and in the directory, but serves and is ready again with the store")
{
  EntryFleet fleet(1, {}, R"(, "news_within_ms": 500)");
  REQUIRE(fleet.AwaitReady(0));
  fleet.Platform().Store().busy_ = true;
  // A short outage of the store changes nothing: the bound is 6.5 s.
  std::this_thread::sleep_for(std::chrono::seconds{ 3 });
  CHECK(fleet.IsReady(0));
  REQUIRE(EntryFleet::Await([&] { return !fleet.IsReady(0); }));
  CHECK(EntryFleet::Await([&] { return fleet.Directory(0).status_ == 503; }));
  CHECK(fleet.Get(0, "/safe/x").status_ == 200);
  fleet.Platform().Store().busy_ = false;
  CHECK(fleet.AwaitReady(0));
}

} // namespace testing

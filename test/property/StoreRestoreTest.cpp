#include "RestoreWorld.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

constexpr unsigned kSeeds = 200;

} // namespace

TEST_CASE("a store that returns to older copies undoes neither configurations "
          "nor drains, and hosts follow it")
{
  for (const std::size_t hosts : { 2, 6, 12 }) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      const auto outcome =
        RestoreWorld({ .hosts_ = hosts, .seed_ = seed }).Simulate();
      CAPTURE(hosts);
      CAPTURE(seed);
      CHECK(outcome.undoneConfigurations_ == 0);
      CHECK(outcome.undoneDrains_ == 0);
      CHECK(outcome.hostsBehind_ == 0);
    }
  }
}

TEST_CASE("a restore costs each host a few full reads, and no fetches once "
          "hosts agree")
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const RestoreWorld::Options calm{ .restores_ = 0, .seed_ = seed };
    auto restored = calm;
    restored.restores_ = 1;
    const auto without = RestoreWorld(calm).Simulate();
    const auto with = RestoreWorld(restored).Simulate();
    CAPTURE(seed);
    // The calls that are in flight, and those of the reads themselves.
    CHECK(with.fullReads_ <= without.fullReads_ + 4 * calm.hosts_);
  }
}

TEST_CASE("without eras hosts miss what a restored store is told")
{
  std::size_t behind = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    behind += RestoreWorld({ .usesEras_ = false, .seed_ = seed })
                .Simulate()
                .hostsBehind_;
  }
  CHECK(behind > 0);
}

} // namespace testing

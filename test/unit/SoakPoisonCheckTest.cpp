#include "SoakWorld.h"

#include <doctest/doctest.h>

namespace testing {

TEST_CASE("SoakChecker reports excess sends of poison requests")
{
  SoakWorld world;
  constexpr auto kSends = 4;
  for (auto i = 0; i < 3; ++i) {
    world.SendPoison(i * 1s, true);
  }
  SUBCASE("more than hosts in contact may send")
  {
    for (auto i = 0; i < kSends; ++i) {
      world.SendPoison(7s + i * 1s, true);
    }
    CHECK(world.ViolatedRule() == "budget");
  }
  SUBCASE("not where engines survived")
  {
    world.crashes_.pop_back();
    for (auto i = 0; i < kSends; ++i) {
      world.SendPoison(7s + i * 1s, false);
    }
    CHECK(world.ViolatedRule().empty());
  }
  SUBCASE("not before the hosts can know of the crashes")
  {
    for (auto i = 0; i < kSends; ++i) {
      world.SendPoison(3s + i * 1ms, false);
    }
    CHECK(world.ViolatedRule().empty());
  }
  SUBCASE("not where the host was out of contact")
  {
    world.faultLog_.End(world.faultLog_.Begin(HostPart(0), kStart + 6s),
                        kStart + 8s);
    for (auto i = 0; i < kSends; ++i) {
      world.SendPoison(8s + i * 1s, false);
    }
    CHECK(world.ViolatedRule().empty());
  }
}

TEST_CASE("SoakChecker reports excess sends of a crashing part of a prompt")
{
  SoakWorld world;
  constexpr auto kSends = 4;
  for (auto i = 0; i < 5; ++i) {
    world.SendCrashingPart(i * 1s, true);
  }
  SUBCASE("more than hosts in contact may send")
  {
    for (auto i = 0; i < kSends; ++i) {
      world.SendCrashingPart(9s + i * 1s, true);
    }
    CHECK(world.ViolatedRule() == "budget");
  }
  SUBCASE("not where fewer engines crashed")
  {
    world.crashes_.pop_back();
    for (auto i = 0; i < kSends; ++i) {
      world.SendCrashingPart(9s + i * 1s, false);
    }
    CHECK(world.ViolatedRule().empty());
  }
}

} // namespace testing

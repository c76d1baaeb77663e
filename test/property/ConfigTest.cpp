#include "ConfigWorld.h"
#include "Property.h"

#include <random>

namespace testing {

namespace {

constexpr std::size_t kScheduleLength = 250;

auto ViolationOf(const std::vector<std::uint16_t>& aSchedule,
                 ConfigRemoved aRemoved) -> std::string
{
  ConfigWorld world(aRemoved);
  for (const auto choice : aSchedule) {
    world.Step(choice);
    if (!world.Violation().empty()) {
      return world.Violation();
    }
  }
  world.Heal();
  return world.Violation();
}

auto FailsWithout(ConfigRemoved aRemoved) -> bool
{
  constexpr auto kSchedules = 2'000;
  constexpr auto kSeed = 11;
  return AnyScheduleFails(kSchedules, kSeed, kScheduleLength,
                          [aRemoved](const auto& aSchedule) {
                            return ViolationOf(aSchedule, aRemoved);
                          });
}

} // namespace

TEST_CASE("config: one patch is accepted per number, operators get the actual "
          "outcome, host versions never decrease and converge")
{
  CheckProperty([] {
    const auto schedule = *Schedule(kScheduleLength);
    RC_ASSERT(ViolationOf(schedule, ConfigRemoved::Nothing) == "");
  });
}

TEST_CASE("config: the schedules produce new versions and refused patches")
{
  std::mt19937 random(3);
  VersionNumber versions = 0;
  auto refused = 0;
  for (auto i = 0; i < 100; ++i) {
    ConfigWorld world(ConfigRemoved::Nothing);
    for (std::size_t step = 0; step < kScheduleLength; ++step) {
      world.Step(static_cast<std::uint16_t>(random()));
    }
    versions += world.Newest();
    refused += world.Refused();
  }
  CHECK(versions > 200);
  CHECK(refused > 100);
}

TEST_CASE("config: some schedule fails if one part of the mechanism is removed")
{
  CHECK(FailsWithout(ConfigRemoved::InsertCondition));
  CHECK(FailsWithout(ConfigRemoved::ReadBack));
  CHECK(FailsWithout(ConfigRemoved::MonotonicVersions));
}

TEST_CASE(
  "config: after a pause a version needs confirmation by a newer message")
{
  VirtualClock clock;
  ConfigFollower follower({}, clock.Now());
  follower.Tick(clock.Now());
  follower.OnVersionAdvertised(0, clock.Now());
  CHECK(follower.Confirmed());
  clock.Advance(std::chrono::seconds{ 5 });
  // A message that was queued in the socket predates the end of the pause.
  follower.OnVersionAdvertised(0, clock.Now());
  follower.Tick(clock.Now());
  CHECK_FALSE(follower.Confirmed());
  follower.OnVersionAdvertised(0, clock.Now());
  CHECK(follower.Confirmed());
}

} // namespace testing

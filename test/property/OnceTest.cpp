#include "OnceWorld.h"
#include "Property.h"

#include <random>

namespace testing {

namespace {

constexpr std::size_t kScheduleLength = 400;

auto ViolationOf(const std::vector<std::uint16_t>& aSchedule, Removed aRemoved)
  -> std::string
{
  OnceWorld world(aRemoved);
  for (const auto choice : aSchedule) {
    world.Step(choice);
    if (!world.Violation().empty()) {
      return world.Violation();
    }
  }
  return {};
}

/** Whether any of many fixed schedules violates the guarantee without that
 * part. */
auto FailsWithout(Removed aRemoved) -> bool
{
  constexpr auto kSchedules = 20'000;
  constexpr auto kSeed = 7;
  return AnyScheduleFails(kSchedules, kSeed, kScheduleLength,
                          [aRemoved](const auto& aSchedule) {
                            return ViolationOf(aSchedule, aRemoved);
                          });
}

} // namespace

TEST_CASE("once: a key runs at most once and not_run is true, whatever fails")
{
  CheckProperty([] {
    const auto schedule = *Schedule(kScheduleLength);
    RC_ASSERT(ViolationOf(schedule, Removed::Nothing) == "");
  });
}

TEST_CASE("once: the schedules reach runs and recorded answers")
{
  std::mt19937 random(3);
  auto runs = 0;
  auto repeated = 0;
  for (auto i = 0; i < 300; ++i) {
    OnceWorld world(Removed::Nothing);
    for (std::size_t step = 0; step < kScheduleLength; ++step) {
      world.Step(static_cast<std::uint16_t>(random()));
    }
    runs += world.Runs();
    repeated += world.CompletedAnswers() > 1 ? 1 : 0;
  }
  CHECK(runs > 100);
  CHECK(repeated > 10);
}

TEST_CASE("once: removing any one part of the mechanism violates the guarantee")
{
  CHECK(FailsWithout(Removed::ReadBack));
  CHECK(FailsWithout(Removed::InsertCondition));
  CHECK(FailsWithout(Removed::RunnerProof));
  CHECK(FailsWithout(Removed::ReleaseCondition));
}

} // namespace testing

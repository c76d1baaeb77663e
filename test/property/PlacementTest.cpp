#include "Property.h"

#include <goldcrestcroft/Policy.h>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE(
  "placement: licensed numbers are not exceeded, no pool is emptied, the "
  "number of copies is constant, and changes are spaced out")
{
  CheckProperty([] {
    VirtualClock clock;
    const Placement::Options options;
    Placement placement(options);
    std::vector<PoolUse> pools{
      { .pool_ = { "a" }, .licensedCopies_ = 8, .copies_ = 4 },
      { .pool_ = { "b" }, .licensedCopies_ = 6, .copies_ = 4 },
      { .pool_ = { "c" }, .licensedCopies_ = 5, .copies_ = 4 }
    };
    auto last = TimePoint{};
    for (const auto choice : *Schedule(200)) {
      clock.Advance(std::chrono::milliseconds(500 * (choice % 8)));
      pools[choice / 8 % 3].neededCopies_ = choice / 32 % 10;
      for (const auto& change : placement.Plan(pools, clock.Now())) {
        RC_ASSERT(clock.Now() - last >= options.minChangeInterval_);
        last = clock.Now();
        for (auto& pool : pools) {
          pool.copies_ += pool.pool_ == change.to_ ? 1 : 0;
          pool.copies_ -= pool.pool_ == change.from_ ? 1 : 0;
        }
      }
      auto copies = 0U;
      for (const auto& pool : pools) {
        RC_ASSERT(pool.copies_ <= pool.licensedCopies_);
        RC_ASSERT(pool.copies_ >= 1U);
        copies += pool.copies_;
      }
      RC_ASSERT(copies == 12U);
    }
  });
}

TEST_CASE("placement: follows sustained demand, not a burst")
{
  VirtualClock clock;
  Placement placement({});
  const std::vector<PoolUse> calm{
    { .pool_ = { "a" },
      .licensedCopies_ = 8,
      .copies_ = 4,
      .neededCopies_ = 2 },
    { .pool_ = { "b" }, .licensedCopies_ = 8, .copies_ = 4, .neededCopies_ = 2 }
  };
  auto busy = calm;
  busy[0].neededCopies_ = 6;
  busy[1].neededCopies_ = 1;
  clock.Advance(std::chrono::minutes{ 1 });
  CHECK(placement.Plan(busy, clock.Now()).empty());
  clock.Advance(std::chrono::seconds{ 5 });
  CHECK(placement.Plan(calm, clock.Now()).empty());
  CHECK(placement.Plan(busy, clock.Now()).empty());
  clock.Advance(std::chrono::seconds{ 11 });
  const auto changes = placement.Plan(busy, clock.Now());
  REQUIRE(changes.size() == 1);
  CHECK(changes[0] == RoleChange{ .from_ = { "b" }, .to_ = { "a" } });
}

} // namespace testing

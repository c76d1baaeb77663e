#include <doctest/doctest.h>
#include <goldcrestcroft/Engines.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::seconds;

const TimePoint kNow{ std::chrono::hours{ 1 } };
constexpr auto kEngine = "e";
constexpr std::uint64_t kStart = 5;

auto Run(std::uint64_t aNumber) -> UnansweredRun
{
  return { .run_ = { .request_ = 7,
                     .run_ = aNumber,
                     .began_ = kNow - seconds{ 1 },
                     .ended_ = kNow },
           .engine_ = kEngine,
           .startedAt_ = kStart,
           .broke_ = true };
}

auto Named(std::uint64_t aStart, bool aDraining = false) -> EngineList
{
  return EngineList({ { .id_ = kEngine,
                        .service_ = "s",
                        .address_ = "a",
                        .draining_ = aDraining,
                        .startedAt_ = aStart } });
}

/** It does not name the engine of the runs. */
auto Others() -> EngineList
{
  return EngineList({ { .id_ = "another", .service_ = "s", .address_ = "b" } });
}

const auto kGone = [](const std::string&) { return false; };
const auto kLives = [](const std::string&) { return true; };

} // namespace

TEST_CASE("entrusted runs count once their host is gone and the engine ended")
{
  EntrustedRuns runs;
  runs.Add(Run(1), "host");
  CHECK(runs.TakeOver(Named(kStart), kNow, kGone).empty());
  CHECK(runs.TakeOver(Named(kStart + 1), kNow, kLives).empty());
  CHECK(runs.TakeOver(Named(kStart + 1), kNow, kGone) ==
        std::vector{ Run(1).run_ });
  CHECK(runs.Size() == 0);
  runs.Add(Run(2), "host");
  CHECK(runs.TakeOver(Others(), kNow, kGone) == std::vector{ Run(2).run_ });
}

TEST_CASE("entrusted runs do not count at a host that knows no engines yet")
{
  EntrustedRuns runs;
  runs.Add(Run(1), "host");
  CHECK(runs.TakeOver(EngineList(), kNow, kGone).empty());
  CHECK(runs.TakeOver(Named(kStart), kNow, kGone).empty());
  CHECK(runs.TakeOver(Others(), kNow, kGone) == std::vector{ Run(1).run_ });
}

TEST_CASE("entrusted runs do not count at engines that left, or after long")
{
  EntrustedRuns runs;
  runs.Add(Run(1), "host");
  CHECK(runs.TakeOver(Named(kStart, true), kNow, kGone).empty());
  CHECK(runs.Size() == 0);
  runs.Add(Run(2), "host");
  CHECK(runs.TakeOver(Others(), kNow + seconds{ 12 }, kGone).empty());
  CHECK(runs.Size() == 0);
}

TEST_CASE("entrusted runs are bounded, the newest stay")
{
  EntrustedRuns runs({ .capacity_ = 2 });
  for (std::uint64_t run = 1; run <= 4; ++run) {
    runs.Add(Run(run), "host");
  }
  CHECK(runs.TakeOver(Others(), kNow, kGone) ==
        std::vector{ Run(3).run_, Run(4).run_ });
}

} // namespace testing

#include <goldcrestcroft/Engines.h>

#include <doctest/doctest.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{ seconds{ 1000 } };
const EngineEntry kEngine{ .id_ = "e1", .service_ = "s", .startedAt_ = 5 };
const EngineList kListed({ kEngine });

auto Run(std::uint64_t aRun, bool aBroke) -> UnansweredRun
{
  return { .run_ = { .request_ = 7,
                     .run_ = aRun,
                     .began_ = kNow - seconds{ 1 },
                     .ended_ = kNow },
           .engine_ = "e1",
           .startedAt_ = 5,
           .broke_ = aBroke };
}

} // namespace

TEST_CASE(
  "a run whose engine cannot be reached after the break is lost with it")
{
  EndWatch watch;
  watch.Add(Run(1, true), kNow);
  CHECK(watch.OnEngines(kListed, kNow).empty());
  CHECK(watch.OnUnreachable({ .id_ = "e2", .startedAt_ = 5 }).empty());
  CHECK(watch.OnUnreachable({ .id_ = "e1", .startedAt_ = 6 }).empty());
  REQUIRE(watch.OnUnreachable(kEngine).size() == 1);
  CHECK(watch.Size() == 0);
}

TEST_CASE("a broken connection of an engine that goes on is no evidence")
{
  EndWatch watch;
  watch.Add(Run(1, true), kNow);
  const auto before = kNow - seconds{ 3 };
  // What came so soon may have been under way when the engine ended.
  watch.OnHeard(kEngine, before, kNow + milliseconds{ 100 });
  CHECK(watch.Size() == 1);
  // A connection opened since may lead to a later start.
  watch.OnHeard(kEngine, kNow + milliseconds{ 1 }, kNow + seconds{ 1 });
  CHECK(watch.Size() == 1);
  watch.OnHeard(kEngine, before, kNow + seconds{ 1 });
  CHECK(watch.Size() == 0);
  CHECK(watch.OnUnreachable(kEngine).empty());
}

TEST_CASE("an engine that was silent has ended once the store names no such "
          "start")
{
  EndWatch watch;
  watch.Add(Run(1, false), kNow);
  CHECK(watch.OnUnreachable(kEngine).empty());
  const auto reborn = EngineEntry{ .id_ = "e1", .startedAt_ = 6 };
  CHECK(watch.OnEngines(EngineList({ reborn }), kNow).size() == 1);
  watch.Add(Run(2, false), kNow);
  CHECK(watch.OnEngines(EngineList(), kNow).size() == 1);
}

TEST_CASE("an engine that drains or lives for long afterwards ended under no "
          "run")
{
  EndWatch watch;
  watch.Add(Run(1, false), kNow);
  auto draining = kEngine;
  draining.draining_ = true;
  CHECK(watch.OnEngines(EngineList({ draining }), kNow).empty());
  CHECK(watch.OnEngines(EngineList(), kNow).empty());
  watch.Add(Run(2, false), kNow);
  CHECK(watch.OnEngines(EngineList(), kNow + seconds{ 8 }).empty());
}

TEST_CASE("the oldest watched run makes room at the limit")
{
  EndWatch watch({ .capacity_ = 2 });
  for (std::uint64_t i = 1; i <= 3; ++i) {
    watch.Add(Run(i, true), kNow);
  }
  const auto lost = watch.OnUnreachable(kEngine);
  REQUIRE(lost.size() == 2);
  CHECK(lost[0].run_ == 2);
}

} // namespace testing

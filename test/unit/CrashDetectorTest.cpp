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
           .connectionBroke_ = aBroke };
}

} // namespace

TEST_CASE(
  "a run is lost if its engine is unreachable after the connection broke")
{
  CrashDetector detector;
  detector.Add(Run(1, true), kNow);
  CHECK(detector.OnEngines(kListed, kNow).empty());
  CHECK(detector.OnUnreachable({ .id_ = "e2", .startedAt_ = 5 }).empty());
  CHECK(detector.OnUnreachable({ .id_ = "e1", .startedAt_ = 6 }).empty());
  REQUIRE(detector.OnUnreachable(kEngine).size() == 1);
  CHECK(detector.Size() == 0);
}

TEST_CASE("a broken connection is no evidence if the engine keeps running")
{
  CrashDetector detector;
  detector.Add(Run(1, true), kNow);
  const auto before = kNow - seconds{ 3 };
  // A response this soon may have been sent before the engine crashed.
  detector.OnEngineResponse(kEngine, before, kNow + milliseconds{ 100 });
  CHECK(detector.Size() == 1);
  // A connection opened later may lead to a later incarnation.
  detector.OnEngineResponse(kEngine, kNow + milliseconds{ 1 },
                            kNow + seconds{ 1 });
  CHECK(detector.Size() == 1);
  detector.OnEngineResponse(kEngine, before, kNow + seconds{ 1 });
  CHECK(detector.Size() == 0);
  CHECK(detector.OnUnreachable(kEngine).empty());
}

TEST_CASE("a silent engine has crashed once the store does not list its "
          "incarnation")
{
  CrashDetector detector;
  detector.Add(Run(1, false), kNow);
  CHECK(detector.OnUnreachable(kEngine).empty());
  const auto restarted = EngineEntry{ .id_ = "e1", .startedAt_ = 6 };
  CHECK(detector.OnEngines(EngineList({ restarted }), kNow).size() == 1);
  detector.Add(Run(2, false), kNow);
  CHECK(detector.OnEngines(EngineList(), kNow).size() == 1);
}

TEST_CASE("an engine that drains or stays listed for long did not crash during "
          "a run")
{
  CrashDetector detector;
  detector.Add(Run(1, false), kNow);
  auto draining = kEngine;
  draining.draining_ = true;
  CHECK(detector.OnEngines(EngineList({ draining }), kNow).empty());
  CHECK(detector.OnEngines(EngineList(), kNow).empty());
  detector.Add(Run(2, false), kNow);
  CHECK(detector.OnEngines(EngineList(), kNow + seconds{ 8 }).empty());
}

TEST_CASE("the oldest watched run is evicted at the limit")
{
  CrashDetector detector({ .capacity_ = 2 });
  for (std::uint64_t i = 1; i <= 3; ++i) {
    detector.Add(Run(i, true), kNow);
  }
  const auto lost = detector.OnUnreachable(kEngine);
  REQUIRE(lost.size() == 2);
  CHECK(lost[0].run_ == 2);
}

TEST_CASE("an engine has crashed although its next incarnation drains by the "
          "time that it is listed")
{
  CrashDetector detector;
  detector.Add(Run(1, true), kNow);
  auto draining = kEngine;
  draining.draining_ = true;
  ++draining.startedAt_;
  const auto lost = detector.OnEngines(EngineList({ draining }), kNow);
  REQUIRE(lost.size() == 1);
  CHECK(lost[0].run_ == 1);
}

} // namespace testing

#include <doctest/doctest.h>
#include <goldcrestcroft/Engines.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{ std::chrono::hours{ 1 } };
constexpr auto kSoon = milliseconds{ 2 };
const RestLimit::Options kOptions;

} // namespace

TEST_CASE("rested connections are used until a request is lost on one")
{
  const RestLimit limit;
  CHECK(limit.IsOver(kNow));
  CHECK(limit.Allows(seconds{ 30 }, true, kNow));
  CHECK(limit.Allows(seconds{ 30 }, false, kNow));
}

TEST_CASE("after one loss no longer rest than a moment is used by anything")
{
  RestLimit limit;
  REQUIRE(limit.OnLost(seconds{ 3 }, kSoon, kNow));
  for (const auto once : { true, false }) {
    CHECK(limit.Allows(kOptions.safeRest_, once, kNow));
    CHECK_FALSE(
      limit.Allows(kOptions.safeRest_ + milliseconds{ 1 }, once, kNow));
    CHECK_FALSE(limit.Allows(seconds{ 3 }, once,
                             kNow + kOptions.hold_ - milliseconds{ 1 }));
  }
}

TEST_CASE("a loss after a short rest leaves shorter ones only")
{
  for (const auto rest : { 1, 10, 40, 60, 90 }) {
    CAPTURE(rest);
    RestLimit limit;
    REQUIRE(limit.OnLost(milliseconds{ rest }, kSoon, kNow));
    CHECK(limit.Longest() < milliseconds{ rest });
    CHECK_FALSE(limit.Allows(milliseconds{ rest }, false, kNow));
    REQUIRE(limit.OnLost(limit.Longest(), kSoon, kNow));
    CHECK(limit.Longest() <= Duration(milliseconds{ rest }) / 4);
  }
}

TEST_CASE("what may be repeated tries longer rests before what may run once")
{
  RestLimit limit;
  limit.OnLost(seconds{ 3 }, kSoon, kNow);
  const auto tried = kNow + kOptions.hold_;
  CHECK(limit.Allows(seconds{ 3 }, false, tried));
  CHECK_FALSE(limit.Allows(seconds{ 3 }, true, tried));
  CHECK(limit.Allows(seconds{ 3 }, true, tried + kOptions.hold_));
}

TEST_CASE("a lasting trouble is tried ever less often, and then forgotten")
{
  RestLimit limit;
  auto now = kNow;
  auto hold = kOptions.hold_;
  for (auto i = 0; i < 6; ++i) {
    CAPTURE(i);
    limit.OnLost(seconds{ 3 }, kSoon, now);
    CHECK_FALSE(limit.Allows(seconds{ 3 }, false, now + hold - kSoon));
    CHECK(limit.Allows(seconds{ 3 }, false, now + hold));
    now += hold;
    hold = std::min(2 * hold, kOptions.longestHold_);
  }
  CHECK(limit.IsOver(now + kOptions.longestHold_));
  limit.OnLost(seconds{ 3 }, kSoon, now + kOptions.longestHold_);
  CHECK(limit.Allows(seconds{ 3 }, false,
                     now + kOptions.longestHold_ + kOptions.hold_));
}

TEST_CASE("requests lost together do not lengthen the time")
{
  RestLimit limit;
  for (auto i = 0; i < 9; ++i) {
    limit.OnLost(seconds{ 3 }, kSoon, kNow + milliseconds{ i });
  }
  CHECK(limit.Longest() == kOptions.safeRest_);
  CHECK(limit.Allows(seconds{ 3 }, false, kNow + kOptions.hold_));
}

TEST_CASE("an engine that breaks off later has not forgotten the connection")
{
  RestLimit limit;
  CHECK_FALSE(limit.OnLost(seconds{ 3 },
                           kOptions.resetsWithin_ + milliseconds{ 1 }, kNow));
  CHECK(limit.Allows(seconds{ 3 }, true, kNow));
}

} // namespace testing

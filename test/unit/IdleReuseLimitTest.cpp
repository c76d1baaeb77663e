#include <doctest/doctest.h>
#include <goldcrestcroft/Engines.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{ std::chrono::hours{ 1 } };
constexpr auto kSoon = milliseconds{ 2 };
const IdleReuseLimit::Options kOptions;

} // namespace

TEST_CASE("idle connections are reused until a request is lost on one")
{
  const IdleReuseLimit limit;
  CHECK(limit.HasExpired(kNow));
  CHECK(limit.Allows(seconds{ 30 }, true, kNow));
  CHECK(limit.Allows(seconds{ 30 }, false, kNow));
}

TEST_CASE("after one loss only briefly idle connections are reused")
{
  IdleReuseLimit limit;
  REQUIRE(limit.OnLost(seconds{ 3 }, kSoon, kNow));
  for (const auto nonIdempotent : { true, false }) {
    CHECK(limit.Allows(kOptions.safeIdle_, nonIdempotent, kNow));
    CHECK_FALSE(limit.Allows(kOptions.safeIdle_ + milliseconds{ 1 },
                             nonIdempotent, kNow));
    CHECK_FALSE(limit.Allows(seconds{ 3 }, nonIdempotent,
                             kNow + kOptions.hold_ - milliseconds{ 1 }));
  }
}

TEST_CASE("a loss after a short idle time allows shorter idle times only")
{
  for (const auto idleMs : { 1, 10, 40, 60, 90 }) {
    CAPTURE(idleMs);
    IdleReuseLimit limit;
    REQUIRE(limit.OnLost(milliseconds{ idleMs }, kSoon, kNow));
    CHECK(limit.MaxIdle() < milliseconds{ idleMs });
    CHECK_FALSE(limit.Allows(milliseconds{ idleMs }, false, kNow));
    REQUIRE(limit.OnLost(limit.MaxIdle(), kSoon, kNow));
    CHECK(limit.MaxIdle() <= Duration(milliseconds{ idleMs }) / 4);
  }
}

TEST_CASE("idempotent requests try longer idle connections before others do")
{
  IdleReuseLimit limit;
  limit.OnLost(seconds{ 3 }, kSoon, kNow);
  const auto heldUntil = kNow + kOptions.hold_;
  CHECK(limit.Allows(seconds{ 3 }, false, heldUntil));
  CHECK_FALSE(limit.Allows(seconds{ 3 }, true, heldUntil));
  CHECK(limit.Allows(seconds{ 3 }, true, heldUntil + kOptions.hold_));
}

TEST_CASE(
  "during a lasting fault, longer idle connections are tried at growing "
  "intervals; later the fault is forgotten")
{
  IdleReuseLimit limit;
  auto now = kNow;
  auto hold = kOptions.hold_;
  for (auto i = 0; i < 6; ++i) {
    CAPTURE(i);
    limit.OnLost(seconds{ 3 }, kSoon, now);
    CHECK_FALSE(limit.Allows(seconds{ 3 }, false, now + hold - kSoon));
    CHECK(limit.Allows(seconds{ 3 }, false, now + hold));
    now += hold;
    hold = std::min(2 * hold, kOptions.maxHold_);
  }
  CHECK(limit.HasExpired(now + kOptions.maxHold_));
  limit.OnLost(seconds{ 3 }, kSoon, now + kOptions.maxHold_);
  CHECK(limit.Allows(seconds{ 3 }, false,
                     now + kOptions.maxHold_ + kOptions.hold_));
}

TEST_CASE("requests lost together do not extend the hold")
{
  IdleReuseLimit limit;
  for (auto i = 0; i < 9; ++i) {
    limit.OnLost(seconds{ 3 }, kSoon, kNow + milliseconds{ i });
  }
  CHECK(limit.MaxIdle() == kOptions.safeIdle_);
  CHECK(limit.Allows(seconds{ 3 }, false, kNow + kOptions.hold_));
}

TEST_CASE(
  "a connection lost later than a reset would arrive does not restrict reuse")
{
  IdleReuseLimit limit;
  CHECK_FALSE(limit.OnLost(seconds{ 3 },
                           kOptions.resetsWithin_ + milliseconds{ 1 }, kNow));
  CHECK(limit.Allows(seconds{ 3 }, true, kNow));
}

} // namespace testing

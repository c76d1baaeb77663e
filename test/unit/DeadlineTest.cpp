#include "StallableLoop.h"

#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/Deadline.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

constexpr auto kTimeout = milliseconds{ 20 };
constexpr auto kFarTimeout = std::chrono::hours{ 1 };
/** Longer than the grace period for reading bytes that arrived before. */
constexpr auto kStall = milliseconds{ 400 };

} // namespace

TEST_CASE("a queued expiry does nothing after its deadline is rearmed, "
          "disarmed or destroyed")
{
  StallableLoop loop;
  auto expired = 0;
  const auto count = [&](auto) { ++expired; };
  Deadline rearmed(loop.Context().get_executor());
  Deadline disarmed(loop.Context().get_executor());
  auto destroyed = std::make_unique<Deadline>(loop.Context().get_executor());
  rearmed.Arm(kTimeout, count);
  disarmed.Arm(kTimeout, count);
  destroyed->Arm(kTimeout, count);
  // This handler runs before the expiries, which the same pass of the loop has
  // queued.
  Tcp::socket reader(loop.Context());
  auto writer = loop.Connect();
  reader = loop.Accept();
  reader.async_wait(Tcp::socket::wait_read, [&](auto) {
    rearmed.Arm(kFarTimeout, count);
    disarmed.Disarm();
    destroyed.reset();
  });
  loop.Poll();
  asio::write(writer, asio::buffer("x", 1));
  StallableLoop::Stall(kTimeout);
  loop.Poll();
  CHECK_FALSE(destroyed);
  CHECK(expired == 0);
}

TEST_CASE("bytes that keep trickling in postpone an expiry only once")
{
  StallableLoop loop;
  auto probes = 0;
  std::optional<Duration> late;
  Deadline deadline(loop.Context().get_executor(), [&] {
    ++probes;
    return true;
  });
  deadline.Arm(kTimeout, [&](auto aLate) { late = aLate; });
  REQUIRE(loop.RunUntil([&] { return late.has_value(); }));
  CHECK(probes == 1);
  CHECK(*late > Duration{});
  late.reset();
  deadline.Arm(kTimeout, [&](auto aLate) { late = aLate; });
  REQUIRE(loop.RunUntil([&] { return late.has_value(); }));
  CHECK(probes == 2);
}

TEST_CASE(
  "bytes that arrived in time can be read although the loop stalls repeatedly")
{
  StallableLoop loop;
  auto expired = false;
  Deadline deadline(loop.Context().get_executor(), [] { return true; });
  deadline.Arm(kTimeout, [&](auto) { expired = true; });
  for (auto i = 0; i < 4; ++i) {
    StallableLoop::Stall(kStall);
    loop.Poll();
    CHECK_FALSE(expired);
  }
  deadline.Disarm();
  loop.Poll();
  CHECK_FALSE(expired);
}

TEST_CASE("a loop that is always late does not postpone an expiry forever")
{
  StallableLoop loop;
  auto expired = false;
  Deadline deadline(loop.Context().get_executor(), [] { return true; });
  deadline.Arm(kTimeout, [&](auto) { expired = true; });
  for (auto i = 0; i < 12 && !expired; ++i) {
    StallableLoop::Stall(kStall);
    loop.Poll();
  }
  CHECK(expired);
}

TEST_CASE("an expiry is reported once, and its handler may rearm the deadline")
{
  StallableLoop loop;
  auto expired = 0;
  Deadline deadline(loop.Context().get_executor());
  const std::function<void(Duration)> rearm = [&](auto) {
    if (++expired < 3) {
      deadline.Arm(kTimeout, rearm);
    }
  };
  deadline.Arm(kTimeout, rearm);
  CHECK(loop.RunUntil([&] { return expired == 3; }));
  StallableLoop::Stall(kTimeout);
  loop.Poll();
  CHECK(expired == 3);
}

} // namespace testing

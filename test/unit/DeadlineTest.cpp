#include "LoopStall.h"

#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/Deadline.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

constexpr auto kTime = milliseconds{ 20 };
constexpr auto kFar = std::chrono::hours{ 1 };
/** Longer than the time that is left for reading what came before. */
constexpr auto kStall = milliseconds{ 400 };

} // namespace

TEST_CASE("an expiry that is queued when the time is set anew, lifted or gone "
          "does nothing")
{
  LoopStall loop;
  auto over = 0;
  const auto count = [&](auto) { ++over; };
  Deadline anew(loop.Context().get_executor());
  Deadline lifted(loop.Context().get_executor());
  auto gone = std::make_unique<Deadline>(loop.Context().get_executor());
  anew.Arm(kTime, count);
  lifted.Arm(kTime, count);
  gone->Arm(kTime, count);
  // Runs before the expiries, which the same pass of the loop has queued.
  Tcp::socket reader(loop.Context());
  auto writer = loop.Connect();
  reader = loop.Accept();
  reader.async_wait(Tcp::socket::wait_read, [&](auto) {
    anew.Arm(kFar, count);
    lifted.Disarm();
    gone.reset();
  });
  loop.Poll();
  asio::write(writer, asio::buffer("x", 1));
  LoopStall::StandStill(kTime);
  loop.Poll();
  CHECK_FALSE(gone);
  CHECK(over == 0);
}

TEST_CASE("bytes that trickle in put an expiry off once, not for ever")
{
  LoopStall loop;
  auto asked = 0;
  std::optional<Duration> late;
  Deadline deadline(loop.Context().get_executor(), [&] {
    ++asked;
    return true;
  });
  deadline.Arm(kTime, [&](auto aLate) { late = aLate; });
  REQUIRE(loop.RunUntil([&] { return late.has_value(); }));
  CHECK(asked == 1);
  CHECK(*late > Duration{});
  late.reset();
  deadline.Arm(kTime, [&](auto aLate) { late = aLate; });
  REQUIRE(loop.RunUntil([&] { return late.has_value(); }));
  CHECK(asked == 2);
}

TEST_CASE("bytes that came in time are read although the loop stands still "
          "again and again")
{
  LoopStall loop;
  auto over = false;
  Deadline deadline(loop.Context().get_executor(), [] { return true; });
  deadline.Arm(kTime, [&](auto) { over = true; });
  for (auto i = 0; i < 4; ++i) {
    LoopStall::StandStill(kStall);
    loop.Poll();
    CHECK_FALSE(over);
  }
  deadline.Disarm();
  loop.Poll();
  CHECK_FALSE(over);
}

TEST_CASE("a loop that is always late does not put an expiry off for ever")
{
  LoopStall loop;
  auto over = false;
  Deadline deadline(loop.Context().get_executor(), [] { return true; });
  deadline.Arm(kTime, [&](auto) { over = true; });
  for (auto i = 0; i < 12 && !over; ++i) {
    LoopStall::StandStill(kStall);
    loop.Poll();
  }
  CHECK(over);
}

TEST_CASE("a time that is over is told once, and may be set anew from there")
{
  LoopStall loop;
  auto over = 0;
  Deadline deadline(loop.Context().get_executor());
  const std::function<void(Duration)> again = [&](auto) {
    if (++over < 3) {
      deadline.Arm(kTime, again);
    }
  };
  deadline.Arm(kTime, again);
  CHECK(loop.RunUntil([&] { return over == 3; }));
  LoopStall::StandStill(kTime);
  loop.Poll();
  CHECK(over == 3);
}

} // namespace testing

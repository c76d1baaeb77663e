#include "../soak/ReturnCheck.h"

#include <doctest/doctest.h>

namespace testing {

using namespace goldcrestcroft;
using namespace soak;
using namespace std::chrono_literals;

namespace {

const TimePoint kReturn{ 100s };

/** An outage, and the requests of the callers of one host around its end. */
struct ReturningWorld
{
  std::vector<CallRecord> calls_;
  FaultLog faultLog_;
  std::vector<DrainRecord> drains_;
  std::vector<LimitRecord> limits_;

  ReturningWorld()
  {
    for (const auto& part :
         { EnginePart("e"), EnginePart("f"), std::string(kStorePart) }) {
      AddFault(part, -5s, 0s);
    }
  }
  /** Times are relative to the end of the outage. */
  auto Call(Duration aSent, Duration aEnded, int aStatus,
            CallKind aKind = CallKind::Safe) -> CallRecord&
  {
    calls_.push_back({ .kind_ = aKind,
                       .sentAt_ = kReturn + aSent,
                       .endedAt_ = kReturn + aEnded,
                       .status_ = aStatus,
                       .complete_ = aStatus != 0 });
    return calls_.back();
  }
  auto AddFault(const std::string& aPart, Duration aFrom, Duration aTo) -> void
  {
    faultLog_.End(faultLog_.Begin(aPart, kReturn + aFrom), kReturn + aTo);
  }
  [[nodiscard]] auto LateReturns() const -> std::size_t
  {
    return FindLateReturns({ .calls_ = calls_,
                             .faultLog_ = faultLog_,
                             .drains_ = drains_,
                             .serviceOfEngine_ = { { "e", "desk" },
                                                   { "f", "model" },
                                                   { "g", "cutter" } },
                             .limits_ = limits_,
                             .hosts_ = 1,
                             .outages_ = { { .kind_ = "platform_stands",
                                             .endedAt_ = kReturn } } })
      .size();
  }
};

} // namespace

TEST_CASE("ReturnCheck reports a host that serves no sound request in time")
{
  ReturningWorld world;
  world.Call(100ms, 101ms, 503);
  SUBCASE("none at all") {}
  SUBCASE("one that was sent before the end of the outage")
  {
    world.Call(-500ms, 100ms, 200);
  }
  SUBCASE("one that ended too late")
  {
    world.Call(2500ms, 3001ms, 200);
  }
  SUBCASE("one whose response was cut")
  {
    world.Call(100ms, 200ms, 200).complete_ = false;
  }
  SUBCASE("one whose response is invalid")
  {
    world.Call(100ms, 200ms, 200).violation_ = "another body";
  }
  SUBCASE("one with a revoked key")
  {
    world.Call(100ms, 200ms, 200, CallKind::OldKey);
  }
  SUBCASE("one at another host")
  {
    world.Call(100ms, 200ms, 200).host_ = 1;
  }
  CHECK(world.LateReturns() == 1);
}

TEST_CASE("ReturnCheck accepts a host that serves within the time")
{
  ReturningWorld world;
  world.Call(100ms, 101ms, 503);
  world.Call(2500ms, 2999ms, 200);
  CHECK(world.LateReturns() == 0);
}

TEST_CASE("ReturnCheck has no verdict on a host that got no request in time")
{
  ReturningWorld world;
  world.Call(-1s, 200ms, 503);
  world.Call(3100ms, 3200ms, 503);
  CHECK(world.LateReturns() == 0);
}

TEST_CASE("ReturnCheck excuses a host under faults after the outage")
{
  ReturningWorld world;
  world.Call(100ms, 101ms, 503);
  SUBCASE("of the host")
  {
    world.AddFault(HostPart(0), 1s, 2s);
  }
  SUBCASE("of its connections to callers")
  {
    world.AddFault(CallerLinkPart(0), -1s, 1s);
  }
  SUBCASE("of the store")
  {
    world.AddFault(kStorePart, 1s, 2s);
  }
  SUBCASE("of all engines that serve callers")
  {
    world.AddFault(EnginePart("e"), -1s, 1s);
    SUBCASE("by faults")
    {
      world.AddFault(EnginePart("f"), 2s, 3s);
    }
    SUBCASE("by a drain")
    {
      world.drains_ = { { .engine_ = "f", .from_ = kReturn - 1s } };
    }
    SUBCASE("by a rate limit")
    {
      world.limits_ = { { .engine_ = "f", .from_ = kReturn - 1s } };
    }
  }
  CHECK(world.LateReturns() == 0);
}

TEST_CASE("ReturnCheck does not excuse a host by faults that left it a way")
{
  ReturningWorld world;
  world.Call(100ms, 101ms, 503);
  SUBCASE("of the outage itself") {}
  SUBCASE("of some engines")
  {
    world.AddFault(EnginePart("e"), 1s, 2s);
  }
  SUBCASE("of another host")
  {
    world.AddFault(HostPart(1), 1s, 2s);
  }
  SUBCASE("of the host, over before the end of the outage")
  {
    world.AddFault(HostPart(0), -2s, -1s);
  }
  SUBCASE("of the host, after the time for its return")
  {
    world.AddFault(HostPart(0), 3100ms, 4s);
  }
  CHECK(world.LateReturns() == 1);
}

} // namespace testing

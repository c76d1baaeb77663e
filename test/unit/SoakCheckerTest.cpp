#include "SoakWorld.h"

#include <doctest/doctest.h>

namespace testing {

TEST_CASE("SoakChecker reports a violation of each rule")
{
  SoakWorld world;
  SUBCASE("nothing for a correct run")
  {
    world.Arrive(world.Call(CallKind::Unsafe, 200));
    world.Call(CallKind::OldKey, 401, 5s);
    CHECK(world.ViolatedRule().empty());
  }
  SUBCASE("an invalid response")
  {
    world.Call(CallKind::Safe, 200).violation_ = "another body";
    CHECK(world.ViolatedRule() == "mixed");
  }
  SUBCASE("two runs of a request that is not idempotent")
  {
    const auto call = world.Call(CallKind::Unsafe, 200);
    world.Arrive(call);
    world.Arrive(call);
    CHECK(world.ViolatedRule() == "twice");
  }
  SUBCASE("a refusal of a request that ran")
  {
    world.Arrive(world.Call(CallKind::Unsafe, 503));
    CHECK(world.ViolatedRule() == "refused");
  }
  SUBCASE("a valid request denied")
  {
    world.Call(CallKind::Safe, 404);
    CHECK(world.ViolatedRule() == "denied");
  }
  SUBCASE("a revoked key is still accepted")
  {
    world.Arrive(world.Call(CallKind::OldKey, 200, 4s));
    CHECK(world.ViolatedRule() == "config");
  }
  SUBCASE("nothing while the store was unavailable")
  {
    world.faultLog_.Begin(kStorePart, kStart + 1s);
    world.Arrive(world.Call(CallKind::OldKey, 200, 4s));
    CHECK(world.ViolatedRule().empty());
  }
  SUBCASE("a host that the store refuses gets changes from another host")
  {
    world.faultLog_.Begin(soak::StoreDoorPart(0), kStart - 1s);
    world.hosts_ = 2;
    world.Arrive(world.Call(CallKind::OldKey, 200, 4s));
    CHECK(world.ViolatedRule() == "config");
  }
  SUBCASE("nothing while the store refuses all hosts")
  {
    world.faultLog_.Begin(soak::StoreDoorPart(0), kStart - 1s);
    world.faultLog_.Begin(soak::StoreDoorPart(1), kStart - 1s);
    world.hosts_ = 2;
    world.Arrive(world.Call(CallKind::OldKey, 200, 4s));
    CHECK(world.ViolatedRule().empty());
  }
  SUBCASE("a new route is missing")
  {
    world.Call(CallKind::NewRoute, 404, 4s);
    CHECK(world.ViolatedRule() == "config");
  }
  SUBCASE("a draining engine gets a request")
  {
    world.drains_.push_back({ .engine_ = "e", .from_ = kStart });
    world.Arrive(world.Call(CallKind::Safe, 200, 4s));
    CHECK(world.ViolatedRule() == "drain");
  }
  SUBCASE("a request that no caller sent")
  {
    world.arrivals_.push_back({ .requestId_ = "forged", .workspace_ = "w1" });
    CHECK(world.ViolatedRule() == "unasked");
  }
  SUBCASE("more retries than the budget")
  {
    const auto call = world.Call(CallKind::Safe, 200);
    for (auto i = 0; i < 40; ++i) {
      world.Arrive(call);
    }
    CHECK(world.ViolatedRule() == "budget");
  }
  SUBCASE("connections closed without a response")
  {
    for (auto i = 0; i < 4; ++i) {
      world.Arrive(world.Call(CallKind::Safe, 0));
    }
    CHECK(world.ViolatedRule() == "lost");
  }
  SUBCASE("responses long after their deadline")
  {
    for (auto i = 0; i < 8; ++i) {
      world.Call(CallKind::Safe, 504, {}, 3s);
    }
    CHECK(world.ViolatedRule() == "late");
  }
}

TEST_CASE("SoakChecker reports complete requests lost near changes")
{
  SoakWorld world;
  world.changes_.push_back(kStart);
  SUBCASE("one that ran")
  {
    world.Arrive(world.Call(CallKind::Safe, 0));
    CHECK(world.ViolatedRule() == "lost");
  }
  SUBCASE("one that waited at the host")
  {
    world.Call(CallKind::Safe, 0, 1s, 500ms);
    CHECK(world.ViolatedRule() == "lost");
  }
  SUBCASE("not one that may have crossed the close of the connection")
  {
    world.Call(CallKind::Safe, 0);
    CHECK(world.ViolatedRule().empty());
  }
  SUBCASE("not where losses are as frequent at other times")
  {
    world.Arrive(world.Call(CallKind::Safe, 0));
    world.Arrive(world.Call(CallKind::Safe, 0, 10s));
    CHECK(world.ViolatedRule().empty());
  }
  SUBCASE("not where the engine had a fault")
  {
    world.Arrive(world.Call(CallKind::Safe, 0));
    world.faultLog_.Begin(EnginePart("e"), kStart);
    CHECK(world.ViolatedRule().empty());
  }
}

TEST_CASE("SoakChecker reports exceeded rate limits of engines")
{
  SoakWorld world;
  world.limits_.push_back(
    { .engine_ = "e", .perSecond_ = 1.0, .from_ = kStart });
  constexpr auto kOneTooMany = 12;
  const auto send = [&](Duration aFrom) {
    for (auto i = 0; i < kOneTooMany; ++i) {
      world.Arrive(world.Call(CallKind::Safe, 200, aFrom + i * 300ms));
    }
  };
  SUBCASE("by a host that received the limit")
  {
    world.Arrive(world.Call(CallKind::Safe, 200));
    send(5s);
    CHECK(world.ViolatedRule() == "limit");
  }
  SUBCASE("not with one request less")
  {
    world.Arrive(world.Call(CallKind::Safe, 200));
    send(5s);
    world.arrivals_.pop_back();
    CHECK(world.ViolatedRule().empty());
  }
  SUBCASE("not by a host that has just received the limit")
  {
    send(5s);
    CHECK(world.ViolatedRule().empty());
  }
  SUBCASE("not before the limit is in force")
  {
    world.Arrive(world.Call(CallKind::Safe, 200));
    send(1s);
    CHECK(world.ViolatedRule().empty());
  }
  SUBCASE("not by a host with a fault")
  {
    world.Arrive(world.Call(CallKind::Safe, 200));
    world.faultLog_.Begin(HostPart(0), kStart + 4s);
    send(5s);
    CHECK(world.ViolatedRule().empty());
  }
  SUBCASE("not after the engine last advertised it")
  {
    world.Arrive(world.Call(CallKind::Safe, 200));
    world.limits_.back().to_ = kStart + 5s;
    send(5s);
    CHECK(world.ViolatedRule().empty());
  }
}

TEST_CASE("a seed always gives the same faults")
{
  const auto plan = MakeSoakPlan(7, Millis{ 20'000 }, 4, 12);
  CHECK(plan == MakeSoakPlan(7, Millis{ 20'000 }, 4, 12));
  CHECK(plan != MakeSoakPlan(8, Millis{ 20'000 }, 4, 12));
  CHECK(plan.size() > 20);
  for (const auto& fault : plan) {
    CHECK(fault.at_ + fault.for_ <= Millis{ 20'000 });
  }
}

} // namespace testing

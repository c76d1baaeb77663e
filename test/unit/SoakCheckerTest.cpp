#include "../soak/SoakChecker.h"

#include <doctest/doctest.h>

namespace testing {

using namespace goldcrestcroft;
using namespace soak;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 100s };

/** A run in which one request was sent, and reached engines as said. */
struct World
{
  std::vector<CallRecord> calls_;
  Disturbances harm_;
  std::vector<DrainRecord> drains_;
  std::vector<standins::EngineStandin::Arrival> arrivals_;
  std::vector<standins::EngineStandin::End> ends_;
  std::vector<TimePoint> changes_;
  std::vector<LimitRecord> limits_;
  std::size_t hosts_ = 1;

  auto Call(CallKind aKind, int aStatus, Duration aSentAfter = {},
            Duration aTook = 10ms) -> CallRecord&
  {
    const auto sent = kStart + aSentAfter;
    calls_.push_back({ .id_ = "r" + std::to_string(calls_.size()),
                       .kind_ = aKind,
                       .changedAt_ = kStart,
                       .sentAt_ = sent,
                       .endedAt_ = sent + aTook,
                       .status_ = aStatus,
                       .whole_ = aStatus != 0 });
    return calls_.back();
  }
  auto Arrive(const CallRecord& aCall) -> void
  {
    arrivals_.push_back({ .requestId_ = aCall.id_,
                          .workspace_ = "w1",
                          .at_ = aCall.sentAt_ + 1ms });
  }
  /** A poison that reaches the engine, which may end under it. */
  auto SendPoison(Duration aSentAfter, bool aEnds) -> void
  {
    auto& call = Call(CallKind::Poison, 502, aSentAfter);
    call.poison_ = "p";
    Arrive(call);
    if (aEnds) {
      ends_.push_back({ .requestIds_ = { call.id_ }, .at_ = call.endedAt_ });
    }
  }
  [[nodiscard]] auto Broken() const -> std::string
  {
    const auto broken =
      FindBrokenPromises({ .calls_ = calls_,
                           .harm_ = harm_,
                           .drains_ = drains_,
                           .arrivals_ = { { "e", arrivals_ } },
                           .serviceOfEngine_ = { { "e", "desk" } },
                           .ends_ = { { "e", ends_ } },
                           .changes_ = changes_,
                           .limits_ = limits_,
                           .hosts_ = hosts_ });
    return broken.empty() ? "" : broken[0].substr(0, broken[0].find(':'));
  }
};

} // namespace

TEST_CASE("the soak's checker finds each broken promise")
{
  World world;
  SUBCASE("none in a run as it should be")
  {
    world.Arrive(world.Call(CallKind::Unsafe, 200));
    world.Call(CallKind::OldKey, 401, 5s);
    CHECK(world.Broken().empty());
  }
  SUBCASE("an answer that breaks its own rule")
  {
    world.Call(CallKind::Safe, 200).problem_ = "another body";
    CHECK(world.Broken() == "mixed");
  }
  SUBCASE("two runs of what is not idempotent")
  {
    const auto call = world.Call(CallKind::Unsafe, 200);
    world.Arrive(call);
    world.Arrive(call);
    CHECK(world.Broken() == "twice");
  }
  SUBCASE("a refusal of what ran")
  {
    world.Arrive(world.Call(CallKind::Unsafe, 503));
    CHECK(world.Broken() == "refused");
  }
  SUBCASE("a proper request denied")
  {
    world.Call(CallKind::Safe, 404);
    CHECK(world.Broken() == "denied");
  }
  SUBCASE("a key that was taken away still serves")
  {
    world.Arrive(world.Call(CallKind::OldKey, 200, 4s));
    CHECK(world.Broken() == "config");
  }
  SUBCASE("not where the store was away")
  {
    world.harm_.Begin(kStorePart, kStart + 1s);
    world.Arrive(world.Call(CallKind::OldKey, 200, 4s));
    CHECK(world.Broken().empty());
  }
  SUBCASE("a host that the store turns away has it from another one")
  {
    world.harm_.Begin(soak::StoreDoorPart(0), kStart - 1s);
    world.hosts_ = 2;
    world.Arrive(world.Call(CallKind::OldKey, 200, 4s));
    CHECK(world.Broken() == "config");
  }
  SUBCASE("not where the store turns all away")
  {
    world.harm_.Begin(soak::StoreDoorPart(0), kStart - 1s);
    world.harm_.Begin(soak::StoreDoorPart(1), kStart - 1s);
    world.hosts_ = 2;
    world.Arrive(world.Call(CallKind::OldKey, 200, 4s));
    CHECK(world.Broken().empty());
  }
  SUBCASE("a new route is not known")
  {
    world.Call(CallKind::NewRoute, 404, 4s);
    CHECK(world.Broken() == "config");
  }
  SUBCASE("an engine that has left gets a request")
  {
    world.drains_.push_back({ .engine_ = "e", .from_ = kStart });
    world.Arrive(world.Call(CallKind::Safe, 200, 4s));
    CHECK(world.Broken() == "drain");
  }
  SUBCASE("a request that no caller sent")
  {
    world.arrivals_.push_back({ .requestId_ = "forged", .workspace_ = "w1" });
    CHECK(world.Broken() == "unasked");
  }
  SUBCASE("more repeats than the budget")
  {
    const auto call = world.Call(CallKind::Safe, 200);
    for (auto i = 0; i < 40; ++i) {
      world.Arrive(call);
    }
    CHECK(world.Broken() == "budget");
  }
  SUBCASE("connections that end without their answer")
  {
    for (auto i = 0; i < 4; ++i) {
      world.Arrive(world.Call(CallKind::Safe, 0));
    }
    CHECK(world.Broken() == "lost");
  }
  SUBCASE("answers long after their deadline")
  {
    for (auto i = 0; i < 8; ++i) {
      world.Call(CallKind::Safe, 504, {}, 3s);
    }
    CHECK(world.Broken() == "late");
  }
}

TEST_CASE("the soak's checker finds poisons that are sent on")
{
  World world;
  constexpr auto kSends = 4;
  for (auto i = 0; i < 3; ++i) {
    world.SendPoison(i * 1s, true);
  }
  SUBCASE("more often than hosts in touch may")
  {
    for (auto i = 0; i < kSends; ++i) {
      world.SendPoison(7s + i * 1s, true);
    }
    CHECK(world.Broken() == "budget");
  }
  SUBCASE("not where engines lived on")
  {
    world.ends_.pop_back();
    for (auto i = 0; i < kSends; ++i) {
      world.SendPoison(7s + i * 1s, false);
    }
    CHECK(world.Broken().empty());
  }
  SUBCASE("not before the hosts can know")
  {
    for (auto i = 0; i < kSends; ++i) {
      world.SendPoison(3s + i * 1ms, false);
    }
    CHECK(world.Broken().empty());
  }
  SUBCASE("not where the host was out of touch")
  {
    world.harm_.End(world.harm_.Begin(HostPart(0), kStart + 6s), kStart + 8s);
    for (auto i = 0; i < kSends; ++i) {
      world.SendPoison(8s + i * 1s, false);
    }
    CHECK(world.Broken().empty());
  }
}

TEST_CASE("the soak's checker finds whole requests lost beside changes")
{
  World world;
  world.changes_.push_back(kStart);
  SUBCASE("one that ran")
  {
    world.Arrive(world.Call(CallKind::Safe, 0));
    CHECK(world.Broken() == "lost");
  }
  SUBCASE("one that waited")
  {
    world.Call(CallKind::Safe, 0, 1s, 500ms);
    CHECK(world.Broken() == "lost");
  }
  SUBCASE("not one that may have crossed the close")
  {
    world.Call(CallKind::Safe, 0);
    CHECK(world.Broken().empty());
  }
  SUBCASE("not where it is as frequent at other times")
  {
    world.Arrive(world.Call(CallKind::Safe, 0));
    world.Arrive(world.Call(CallKind::Safe, 0, 10s));
    CHECK(world.Broken().empty());
  }
  SUBCASE("not where the engine ended")
  {
    world.Arrive(world.Call(CallKind::Safe, 0));
    world.harm_.Begin(EnginePart("e"), kStart);
    CHECK(world.Broken().empty());
  }
}

TEST_CASE("the soak's checker finds limits of engines that are passed")
{
  World world;
  world.limits_.push_back(
    { .engine_ = "e", .perSecond_ = 1.0, .from_ = kStart });
  constexpr auto kOneTooMany = 12;
  const auto send = [&](Duration aFrom) {
    for (auto i = 0; i < kOneTooMany; ++i) {
      world.Arrive(world.Call(CallKind::Safe, 200, aFrom + i * 300ms));
    }
  };
  SUBCASE("by a host that was told")
  {
    world.Arrive(world.Call(CallKind::Safe, 200));
    send(5s);
    CHECK(world.Broken() == "limit");
  }
  SUBCASE("not with one request less")
  {
    world.Arrive(world.Call(CallKind::Safe, 200));
    send(5s);
    world.arrivals_.pop_back();
    CHECK(world.Broken().empty());
  }
  SUBCASE("not by a host that was told just now")
  {
    send(5s);
    CHECK(world.Broken().empty());
  }
  SUBCASE("not before the limit holds")
  {
    world.Arrive(world.Call(CallKind::Safe, 200));
    send(1s);
    CHECK(world.Broken().empty());
  }
  SUBCASE("not by a host that was harmed")
  {
    world.Arrive(world.Call(CallKind::Safe, 200));
    world.harm_.Begin(HostPart(0), kStart + 4s);
    send(5s);
    CHECK(world.Broken().empty());
  }
  SUBCASE("not after the engine has named it last")
  {
    world.Arrive(world.Call(CallKind::Safe, 200));
    world.limits_.back().to_ = kStart + 5s;
    send(5s);
    CHECK(world.Broken().empty());
  }
}

TEST_CASE("a seed always makes the same faults")
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

#include <goldcrestcroft/Engines.h>

#include <doctest/doctest.h>

#include <set>

namespace goldcrestcroft {

namespace {

using Engines = std::vector<ServiceOutage::Engine>;
using namespace std::chrono_literals;

const TimePoint kNow{ 100s };
constexpr std::size_t kHosts = 4;

/** Engines e0, e1 ..., silent where the text has an 's'. */
auto MakeEngines(const std::string& aStates) -> Engines
{
  Engines engines;
  for (const auto state : aStates) {
    engines.push_back(
      { .id_ = "e" + std::to_string(engines.size()), .silent_ = state == 's' });
  }
  return engines;
}

} // namespace

TEST_CASE("engines are not asked while one of their service responds")
{
  ServiceOutage outage;
  const auto engines = MakeEngines("ss.");
  outage.Update(engines, kNow);
  CHECK(outage.IsOver());
  CHECK_FALSE(outage.Next(engines, kHosts, kNow));
}

TEST_CASE("silent engines are asked one after another and not in a burst")
{
  ServiceOutage outage;
  const auto engines = MakeEngines("sss");
  auto now = kNow;
  for (const auto* expected : { "e0", "e1", "e2", "e0" }) {
    outage.Update(engines, now);
    REQUIRE(outage.IsOut());
    REQUIRE(outage.Next(engines, kHosts, now) == expected);
    outage.OnAsked(expected, now);
    CHECK_FALSE(outage.Next(engines, kHosts, now + 199ms));
    now += 200ms;
  }
}

TEST_CASE("an outage that begins right after another is not asked in a burst")
{
  ServiceOutage outage;
  const auto silent = MakeEngines("ss");
  outage.Update(silent, kNow);
  outage.OnAsked("e0", kNow);
  outage.Update(MakeEngines(".."), kNow);
  REQUIRE(outage.IsOver());
  outage.Update(silent, kNow + 50ms);
  REQUIRE(outage.IsOut());
  CHECK_FALSE(outage.Next(silent, kHosts, kNow + 50ms));
  CHECK(outage.Next(silent, kHosts, kNow + 200ms) == "e1");
}

TEST_CASE("hosts that lose the same engines do not ask the same one at once")
{
  std::set<std::string> first;
  for (const auto position : { 0.0, 0.4, 0.8 }) {
    ServiceOutage outage({ .position_ = position });
    const auto engines = MakeEngines("sss");
    outage.Update(engines, kNow);
    first.insert(*outage.Next(engines, kHosts, kNow));
  }
  CHECK(first.size() == 3);
}

TEST_CASE("many hosts do not overload the engines that return")
{
  constexpr std::size_t kManyHosts = 300;
  ServiceOutage outage;
  const auto engines = MakeEngines("sss");
  outage.Update(engines, kNow);
  outage.OnAsked("e0", kNow);
  CHECK_FALSE(outage.Next(engines, kManyHosts, kNow + 999ms));
  CHECK(outage.Next(engines, kManyHosts, kNow + 1000ms) == "e1");
}

TEST_CASE("after the first engine has returned the others are not waited for")
{
  ServiceOutage outage;
  outage.Update(MakeEngines("ssss"), kNow);
  outage.OnAsked("e1", kNow);
  const auto engines = MakeEngines("s.ss");
  outage.Update(engines, kNow);
  CHECK_FALSE(outage.IsOut());
  auto now = kNow;
  for (const auto* expected : { "e2", "e3", "e0" }) {
    now += 10ms;
    REQUIRE(outage.Next(engines, kHosts, now) == expected);
    outage.OnAsked(expected, now);
    outage.Update(engines, now);
  }
}

TEST_CASE("an engine that returns after the others is still asked")
{
  ServiceOutage outage;
  outage.Update(MakeEngines("ss"), kNow);
  const auto engines = MakeEngines("s.");
  outage.Update(engines, kNow);
  outage.OnAsked("e0", kNow);
  outage.Update(engines, kNow + 5s);
  CHECK(outage.Next(engines, kHosts, kNow + 5s) == "e0");
  outage.Update(MakeEngines(".."), kNow + 6s);
  CHECK(outage.IsOver());
}

TEST_CASE("an engine that never returns is not asked forever")
{
  ServiceOutage outage;
  outage.Update(MakeEngines("ss"), kNow);
  outage.Update(MakeEngines("s."), kNow);
  outage.Update(MakeEngines("s."), kNow + 30s);
  CHECK(outage.IsOver());
}

TEST_CASE("an outage that begins again while engines return is noticed")
{
  ServiceOutage outage;
  outage.Update(MakeEngines("ss"), kNow);
  outage.Update(MakeEngines("s."), kNow);
  auto engines = MakeEngines("ss");
  // The one that is still silent may not be asked.
  engines[0].mayReceive_ = false;
  outage.Update(engines, kNow);
  CHECK(outage.IsOut());
  CHECK(outage.Next(engines, kHosts, kNow) == "e1");
}

TEST_CASE("an engine that may not be used does not hide an outage")
{
  ServiceOutage outage;
  auto engines = MakeEngines("ss.");
  engines[2].mayReceive_ = false;
  outage.Update(engines, kNow);
  CHECK(outage.IsOut());
}

TEST_CASE("an engine that asked for a pause is not asked for its health")
{
  ServiceOutage outage;
  auto engines = MakeEngines("ss");
  engines[0].mayReceive_ = false;
  outage.Update(engines, kNow);
  CHECK(outage.IsOut());
  CHECK(outage.Next(engines, kHosts, kNow) == "e1");
  engines[1].mayReceive_ = false;
  CHECK_FALSE(outage.Next(engines, kHosts, kNow));
}

TEST_CASE("engines that are no longer registered end an outage")
{
  ServiceOutage outage;
  outage.Update(MakeEngines("ss"), kNow);
  outage.Update({}, kNow);
  CHECK(outage.IsOver());
}

TEST_CASE("an engine that fails requests is not taken for silent")
{
  EngineHealth health;
  for (auto i = 0; i < 3; ++i) {
    health.OnFailure(EngineFailure::Failed, kNow, kNow);
  }
  CHECK_FALSE(health.IsUsable(kNow));
  CHECK_FALSE(health.IsSilent());
  health.OnFailure(EngineFailure::Unanswered, kNow, kNow);
  CHECK(health.IsSilent());
}

TEST_CASE("an engine that responds again is used before its suspension ends")
{
  EngineHealth health;
  health.OnFailure(EngineFailure::Unreachable, kNow, kNow);
  health.OnFailure(EngineFailure::Unreachable, kNow, kNow);
  CHECK(health.SuspensionLeft(kNow) == 2s);
  health.OnResponding(kNow);
  CHECK(health.IsUsable(kNow));
  CHECK(health.IsOnTrial());
  CHECK_FALSE(health.IsSilent());
  health.OnResponseBegun();
  CHECK_FALSE(health.IsOnTrial());
}

TEST_CASE("a refusal right after an engine has returned does not shut it out")
{
  EngineHealth health;
  for (auto i = 0; i < 12; ++i) {
    const auto at = kNow + i * 10s;
    health.OnFailure(EngineFailure::Unanswered, at, at);
  }
  const auto now = kNow + 120s;
  health.OnResponding(now);
  health.OnFailure(EngineFailure::Failed, now, now);
  CHECK(health.SuspensionLeft(now) == 2s);
  CHECK(health.IsLastResort());
}

TEST_CASE("requests in flight when an engine falls silent suspend it once")
{
  EngineHealth health;
  for (auto i = 0; i < 24; ++i) {
    health.OnFailure(EngineFailure::Unanswered, kNow, kNow + 300ms);
  }
  CHECK(health.SuspensionLeft(kNow + 300ms) == 1s);
}

} // namespace goldcrestcroft

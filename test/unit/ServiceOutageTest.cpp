#include <goldcrestcroft/Engines.h>

#include <doctest/doctest.h>

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
  outage.Update(engines);
  CHECK(outage.IsOver());
  CHECK_FALSE(outage.Next(engines, kHosts, kNow));
}

TEST_CASE("silent engines are asked one after another and not in a burst")
{
  ServiceOutage outage;
  const auto engines = MakeEngines("sss");
  auto now = kNow;
  for (const auto* expected : { "e0", "e1", "e2", "e0" }) {
    outage.Update(engines);
    REQUIRE(outage.IsOut());
    REQUIRE(outage.Next(engines, kHosts, now) == expected);
    outage.OnAsked(expected, now);
    CHECK_FALSE(outage.Next(engines, kHosts, now + 199ms));
    now += 200ms;
  }
}

TEST_CASE("many hosts do not overload the engines that return")
{
  constexpr std::size_t kManyHosts = 300;
  ServiceOutage outage;
  const auto engines = MakeEngines("sss");
  outage.Update(engines);
  outage.OnAsked("e0", kNow);
  CHECK_FALSE(outage.Next(engines, kManyHosts, kNow + 999ms));
  CHECK(outage.Next(engines, kManyHosts, kNow + 1000ms) == "e1");
}

TEST_CASE("after the first engine has returned the others are not waited for")
{
  ServiceOutage outage;
  outage.Update(MakeEngines("ssss"));
  outage.OnAsked("e1", kNow);
  const auto engines = MakeEngines("s.ss");
  outage.Update(engines);
  CHECK_FALSE(outage.IsOut());
  // Each of them once, whether it responds or not.
  for (const auto* expected : { "e2", "e3", "e0" }) {
    REQUIRE(outage.Next(engines, kHosts, kNow) == expected);
    outage.OnAsked(expected, kNow);
    outage.Update(engines);
  }
  CHECK(outage.IsOver());
  CHECK_FALSE(outage.Next(engines, kHosts, kNow + 10s));
}

TEST_CASE("an outage that begins again while engines return is noticed")
{
  ServiceOutage outage;
  outage.Update(MakeEngines("ss"));
  outage.Update(MakeEngines("s."));
  const auto engines = MakeEngines("ss");
  outage.Update(engines);
  const auto next = outage.Next(engines, kHosts, kNow);
  REQUIRE(next);
  outage.OnAsked(*next, kNow);
  for (auto i = 0; i < 3; ++i) {
    outage.Update(engines);
    if (const auto other = outage.Next(engines, kHosts, kNow)) {
      outage.OnAsked(*other, kNow);
    }
  }
  CHECK(outage.IsOut());
}

TEST_CASE("an engine that asked for a pause is not asked for its health")
{
  ServiceOutage outage;
  auto engines = MakeEngines("ss");
  engines[0].mayReceive_ = false;
  outage.Update(engines);
  CHECK(outage.IsOut());
  CHECK(outage.Next(engines, kHosts, kNow) == "e1");
  engines[1].mayReceive_ = false;
  CHECK_FALSE(outage.Next(engines, kHosts, kNow));
}

TEST_CASE("engines that are no longer registered end an outage")
{
  ServiceOutage outage;
  outage.Update(MakeEngines("ss"));
  outage.Update({});
  CHECK(outage.IsOver());
}

TEST_CASE("an engine that fails requests is not taken for silent")
{
  EngineHealth health;
  for (auto i = 0; i < 3; ++i) {
    health.OnFailure(EngineFailure::Failed, kNow);
  }
  CHECK_FALSE(health.IsUsable(kNow));
  CHECK_FALSE(health.IsSilent());
  health.OnFailure(EngineFailure::Unanswered, kNow);
  CHECK(health.IsSilent());
}

TEST_CASE("an engine that responds again is used before its suspension ends")
{
  EngineHealth health;
  health.OnFailure(EngineFailure::Unreachable, kNow);
  health.OnFailure(EngineFailure::Unreachable, kNow);
  CHECK(health.SuspensionLeft(kNow) == 2s);
  health.OnResponding(kNow);
  CHECK(health.IsUsable(kNow));
  CHECK(health.IsOnTrial());
  CHECK_FALSE(health.IsSilent());
}

} // namespace goldcrestcroft

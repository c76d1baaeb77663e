#include "LimitedFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

using goldcrestcroft::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** `contact_ms`, the time after which the rule holds. */
constexpr auto kContact = milliseconds{ 3000 };
/** Rate limit of each engine, in requests a second, in tests in which all
 * engines advertise one. */
constexpr auto kLimitOfAll = 2.0;

/** Makes all engines of the service advertise a limit, under ten times the load
 * that they accept; returns the time of that. */
auto StartWhereAllAreLimited(LimitedFleet& aFleet) -> TimePoint
{
  for (const auto& engine : aFleet.Engines()) {
    engine->limit_ = kLimitOfAll;
  }
  aFleet.StartLoad(8, milliseconds{ 200 });
  return aFleet.Now();
}

} // namespace

TEST_CASE(
  "an engine that advertises a rate limit gets no more than that from all "
  "hosts together, and its callers are served elsewhere at once")
{
  LimitedFleet fleet(4);
  REQUIRE(fleet.AwaitReady());
  fleet.StartLoad(8, milliseconds{ 100 });
  LimitedFleet::Wait(seconds{ 1 });
  auto& limited = *fleet.Engines()[0];
  constexpr auto kLimit = 1.0;
  limited.limit_ = kLimit;
  const auto advertisedAt = fleet.Now();
  LimitedFleet::Wait(kContact + seconds{ 8 });
  CHECK(LimitedFleet::MaxIn4s(limited, advertisedAt + kContact) <=
        LimitedFleet::Allowed(kLimit));
  const auto responses = fleet.ResponsesSince(advertisedAt);
  const auto served = std::count_if(
    responses.begin(), responses.end(),
    [](const auto& aResponse) { return aResponse.response_.status_ == 200; });
  CHECK(served == static_cast<std::ptrdiff_t>(responses.size()));
  // The engine is used up to its limit, and as before once it advertises none.
  CHECK(LimitedFleet::ReachedSince(limited, advertisedAt + kContact) >= 4);
  limited.limit_ = -1.0;
  CHECK(EntryFleet::Await([&] {
    return LimitedFleet::ReachedSince(limited, fleet.Now() - seconds{ 1 }) > 20;
  }));
  fleet.StopLoad();
}

TEST_CASE("where all engines of a service advertise rate limits these are used "
          "up, and the other requests are refused at once")
{
  LimitedFleet fleet(4);
  REQUIRE(fleet.AwaitReady());
  const auto advertisedAt = StartWhereAllAreLimited(fleet);
  constexpr auto kSettlingTime = seconds{ 8 };
  constexpr auto kObservedTime = seconds{ 10 };
  LimitedFleet::Wait(kSettlingTime + kObservedTime);
  std::size_t reached = 0;
  for (const auto& engine : fleet.Engines()) {
    CHECK(LimitedFleet::MaxIn4s(*engine, advertisedAt + kContact) <=
          LimitedFleet::Allowed(kLimitOfAll));
    reached +=
      LimitedFleet::ReachedSince(*engine, advertisedAt + kSettlingTime);
  }
  constexpr auto kMinShare = 0.8;
  CHECK(static_cast<double>(reached) >=
        kMinShare * kLimitOfAll *
          std::chrono::duration<double>(kObservedTime).count() *
          static_cast<double>(fleet.Engines().size()));
  for (const auto& [response, at, took] :
       fleet.ResponsesSince(advertisedAt + kSettlingTime)) {
    if (response.status_ != 200) {
      REQUIRE(response.status_ == 503);
      REQUIRE(response.headers_.contains("Retry-After"));
      CHECK(std::stod(response.headers_.at("Retry-After")) > 0.0);
      CHECK(took < milliseconds{ 1500 });
    }
  }
  fleet.StopLoad();
}

TEST_CASE("hosts that are killed or start neither exceed the rate limit of an "
          "engine nor leave it without requests")
{
  LimitedFleet fleet(4);
  REQUIRE(fleet.AwaitReady());
  const auto advertisedAt = StartWhereAllAreLimited(fleet);
  LimitedFleet::Wait(kContact + seconds{ 2 });
  for (const std::size_t host : { 3, 2, 1 }) {
    fleet.Fleet().ProcessOf(host).Kill();
    LimitedFleet::Wait(milliseconds{ 500 });
    fleet.Fleet().Start(host);
    LimitedFleet::Wait(seconds{ 2 });
  }
  constexpr auto kRecovered = seconds{ 8 };
  const auto calm = fleet.Now();
  LimitedFleet::Wait(kRecovered + seconds{ 5 });
  for (const auto& engine : fleet.Engines()) {
    CHECK(LimitedFleet::MaxIn4s(*engine, advertisedAt + kContact) <=
          LimitedFleet::Allowed(kLimitOfAll));
    CHECK(LimitedFleet::ReachedSince(*engine, calm + kRecovered) >= 6);
  }
  fleet.StopLoad();
}

TEST_CASE("a stage engine gets no more calls than the rate limit that it "
          "advertises")
{
  LimitedFleet fleet(3);
  REQUIRE(fleet.AwaitReady());
  fleet.StartLoad(6, milliseconds{ 150 }, "/stream/x");
  LimitedFleet::Wait(seconds{ 1 });
  auto& limited = *fleet.Engines("cutter")[0];
  constexpr auto kLimit = 1.0;
  limited.limit_ = kLimit;
  const auto advertisedAt = fleet.Now();
  LimitedFleet::Wait(kContact + seconds{ 7 });
  CHECK(LimitedFleet::MaxIn4s(limited, advertisedAt + kContact) <=
        LimitedFleet::Allowed(kLimit));
  for (const auto& response : fleet.ResponsesSince(advertisedAt)) {
    CHECK(response.response_.status_ == 200);
  }
  fleet.StopLoad();
}

TEST_CASE("an engine whose rate limit is zero gets only trial requests, and is "
          "used again once the limit ends")
{
  LimitedFleet fleet(2);
  REQUIRE(fleet.AwaitReady());
  fleet.StartLoad(4, milliseconds{ 100 });
  auto& limited = *fleet.Engines()[0];
  limited.limit_ = 0.0;
  const auto advertisedAt = fleet.Now();
  LimitedFleet::Wait(kContact + seconds{ 6 });
  CHECK(LimitedFleet::MaxIn4s(limited, advertisedAt + kContact) <=
        LimitedFleet::Allowed(0.0));
  limited.limit_ = -1.0;
  // The engine is tried once in ten seconds, to find out whether the limit
  // still holds.
  LimitedFleet::Wait(seconds{ 10 });
  CHECK(EntryFleet::Await([&] {
    return LimitedFleet::ReachedSince(limited, fleet.Now() - seconds{ 1 }) > 10;
  }));
  fleet.StopLoad();
}

} // namespace testing

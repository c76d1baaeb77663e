#include "LimitWorld.h"
#include "Property.h"

namespace testing {

namespace {

/** Simulations of large fleets are shorter, since they take long to run. */
constexpr auto kDuration = std::chrono::seconds{ 60 };
constexpr auto kShortDuration = std::chrono::seconds{ 25 };
/** Part of a limit that must be used while demand exceeds it. */
constexpr auto kMinUse = 0.8;
/** The same while a host is disturbed every few seconds, every other time the
 * one that owns the rate. */
constexpr auto kMinUseWithFaults = 0.4;

auto Report(const LimitWorld::Options& aOptions,
            const LimitWorld::Outcome& aOutcome) -> void
{
  MESSAGE("hosts ", aOptions.hosts_, " limit ", aOptions.limit_, " seed ",
          aOptions.seed_, ", uneven demand ", aOptions.unevenDemand_,
          ", faults ", aOptions.faults_, ": maximum in 4 s ", aOutcome.maxIn4s_,
          " of ", LimitWorld::Allowed(aOptions.limit_), ", used ",
          aOutcome.used_, ", sent ", aOutcome.sent_, " of ", aOutcome.wanted_,
          ", datagrams ", aOutcome.datagrams_, ", all informed after ms ",
          goldcrestcroft::ToMilliseconds(aOutcome.allInformedAfter_));
}

} // namespace

TEST_CASE("engine limits: all hosts together stay within an engine's limit and "
          "use it while there is demand")
{
  for (const std::size_t hosts : { 1, 9, 30, 300, 640 }) {
    for (const auto limit : { 0.2, 1.0, 1.2, 20.0, 500.0 }) {
      for (const auto unevenDemand : { false, true }) {
        const LimitWorld::Options options{ .hosts_ = hosts,
                                           .limit_ = limit,
                                           .wanted_ = 3.0 * limit + 10.0,
                                           .unevenDemand_ = unevenDemand,
                                           .duration_ = hosts < 100
                                                          ? kDuration
                                                          : kShortDuration };
        const auto outcome = LimitWorld(options).Play();
        Report(options, outcome);
        CAPTURE(hosts);
        CAPTURE(limit);
        CHECK(outcome.maxIn4s_ <= LimitWorld::Allowed(limit));
        CHECK(outcome.used_ >= kMinUse);
      }
    }
  }
}

TEST_CASE("engine limits: an engine's limit holds and stays in use while hosts "
          "are killed, start or are paused")
{
  for (const std::size_t hosts : { 9, 30, 300 }) {
    for (const auto limit : { 1.0, 5.0, 50.0 }) {
      for (const auto seed : { 1U, 2U, 3U, 4U }) {
        const LimitWorld::Options options{ .hosts_ = hosts,
                                           .limit_ = limit,
                                           .wanted_ = 3.0 * limit + 10.0,
                                           .faults_ = true,
                                           .seed_ = seed };
        const auto outcome = LimitWorld(options).Play();
        Report(options, outcome);
        CAPTURE(hosts);
        CAPTURE(limit);
        CAPTURE(seed);
        CHECK(outcome.maxIn4s_ <= LimitWorld::Allowed(limit));
        CHECK(outcome.used_ >= kMinUseWithFaults);
      }
    }
  }
}

} // namespace testing

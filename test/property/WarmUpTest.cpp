#include "LimitWorld.h"
#include "Property.h"

namespace testing {

namespace {

/** Values of a large site: requests per second of a cold engine, the tolerated
 * excess, and the length of a warm-up. */
constexpr auto kPerSecond = 11.0;
constexpr auto kOverage = 1.5;
constexpr auto kSlack = 5.0;
constexpr auto kWarmUp = std::chrono::seconds{ 3 };
constexpr auto kDuration = std::chrono::seconds{ 30 };
/** Part of the rate that must be used while callers wait. */
constexpr auto kMinUse = 0.9;

auto Play(std::size_t aHosts, bool aFaults, unsigned aSeed)
  -> LimitWorld::Outcome
{
  const auto outcome = LimitWorld({ .hosts_ = aHosts,
                                    .limit_ = kPerSecond,
                                    .wanted_ = 5.0 * kPerSecond,
                                    .unevenDemand_ = true,
                                    .faults_ = aFaults,
                                    .warmUp_ = kWarmUp,
                                    .duration_ = kDuration,
                                    .seed_ = aSeed })
                         .Play();
  MESSAGE("hosts ", aHosts, " faults ", aFaults, " seed ", aSeed,
          ": maximum in 1 s ", outcome.maxIn1s_, ", used ", outcome.used_);
  return outcome;
}

auto Allowed() -> std::size_t
{
  return static_cast<std::size_t>(kPerSecond * kOverage + kSlack);
}

} // namespace

TEST_CASE("warm-up: an engine that restarts again and again is never sent more "
          "than it tolerates while cold, and its rate is used")
{
  for (const std::size_t hosts : { 9, 30, 300, 640 }) {
    for (const auto seed : { 1U, 2U }) {
      const auto outcome = Play(hosts, false, seed);
      CHECK(outcome.maxIn1s_ <= Allowed());
      CHECK(outcome.used_ >= kMinUse);
    }
  }
}

TEST_CASE("warm-up: the tolerated rate holds while hosts that own it are "
          "killed, start or are paused")
{
  for (const std::size_t hosts : { 9, 30, 300 }) {
    for (const auto seed : { 1U, 2U, 3U, 4U }) {
      CHECK(Play(hosts, true, seed).maxIn1s_ <= Allowed());
    }
  }
}

} // namespace testing

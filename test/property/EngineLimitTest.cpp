#include "LimitWorld.h"
#include "Property.h"

namespace testing {

namespace {

/** Days of large fleets are short, as they take long to play. */
constexpr auto kDay = std::chrono::seconds{ 60 };
constexpr auto kShortDay = std::chrono::seconds{ 25 };
/** Part of a limit that is to be used while callers want more than it. */
constexpr auto kLeastUse = 0.8;
/** The same while hosts are harmed every few seconds, every other time the one
 * that keeps the rate. */
constexpr auto kLeastUseInTrouble = 0.4;

auto Tell(const LimitWorld::Options& aOptions, const LimitWorld::Outcome& aEnd)
  -> void
{
  MESSAGE("hosts ", aOptions.hosts_, " limit ", aOptions.limit_, " seed ",
          aOptions.seed_, ", uneven ", aOptions.uneven_, ", troubled ",
          aOptions.troubled_, ": most in 4 s ", aEnd.mostIn4s_, " of ",
          LimitWorld::Allowed(aOptions.limit_), ", used ", aEnd.used_,
          ", sent ", aEnd.sent_, " of ", aEnd.wanted_, ", datagrams ",
          aEnd.datagrams_, ", all told after ms ",
          goldcrestcroft::ToMilliseconds(aEnd.allTold_));
}

} // namespace

TEST_CASE("engine limits: hosts together send an engine more than its limit, "
          "or leave it unused while callers want it")
{
  for (const std::size_t hosts : { 1, 9, 30, 300, 640 }) {
    for (const auto limit : { 0.2, 1.0, 1.2, 20.0, 500.0 }) {
      for (const auto uneven : { false, true }) {
        const LimitWorld::Options options{ .hosts_ = hosts,
                                           .limit_ = limit,
                                           .wanted_ = 3.0 * limit + 10.0,
                                           .uneven_ = uneven,
                                           .day_ =
                                             hosts < 100 ? kDay : kShortDay };
        const auto end = LimitWorld(options).Play();
        Tell(options, end);
        CAPTURE(hosts);
        CAPTURE(limit);
        CHECK(end.mostIn4s_ <= LimitWorld::Allowed(limit));
        CHECK(end.used_ >= kLeastUse);
      }
    }
  }
}

TEST_CASE("engine limits: hosts that are killed, start or stand still let an "
          "engine get more than its limit, or nothing for long")
{
  for (const std::size_t hosts : { 9, 30, 300 }) {
    for (const auto limit : { 1.0, 5.0, 50.0 }) {
      for (const auto seed : { 1U, 2U, 3U, 4U }) {
        const LimitWorld::Options options{ .hosts_ = hosts,
                                           .limit_ = limit,
                                           .wanted_ = 3.0 * limit + 10.0,
                                           .troubled_ = true,
                                           .seed_ = seed };
        const auto end = LimitWorld(options).Play();
        Tell(options, end);
        CAPTURE(hosts);
        CAPTURE(limit);
        CAPTURE(seed);
        CHECK(end.mostIn4s_ <= LimitWorld::Allowed(limit));
        CHECK(end.used_ >= kLeastUseInTrouble);
      }
    }
  }
}

} // namespace testing

#include <doctest/doctest.h>
#include <goldcrestcroft/Engines.h>
#include <goldcrestcroft/src/Gateway/EngineExchange.h>

namespace testing {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const EngineEntry kEngine{ .id_ = "e",
                           .service_ = "s",
                           .address_ = "10.0.0.1:1",
                           .startedAt_ = 5 };

struct SomePool
{
  asio::io_context context_;
  std::vector<std::string> told_;
  EnginePool pool_{ context_,
                    { .onLeaving_ = [this](const EngineEntry& aEngine) {
                      told_.push_back(aEngine.id_);
                    } } };

  SomePool() { SetEngines({ kEngine }); }
  auto SetEngines(const std::vector<EngineEntry>& aEntries) -> void
  {
    pool_.SetEngines(std::make_shared<const EngineList>(aEntries));
  }
  auto Heed(const EngineAnswerHead& aHead) -> void
  {
    pool_.Heed({ .engine_ = pool_.StateOf(kEngine) }, aHead);
  }
};

} // namespace

TEST_CASE("an engine that asks for a pause is left alone for just so long, and "
          "no request for an absurd time is heeded whole")
{
  VirtualClock clock;
  EngineConsent consent({ .longestPause_ = seconds{ 60 } });
  CHECK(consent.MayReceive(clock.Now()));
  consent.OnPauseAsked(seconds{ 2 }, clock.Now());
  CHECK_FALSE(consent.MayReceive(clock.Now()));
  clock.Advance(milliseconds{ 500 });
  // A shorter word that was on its way does not end the pause.
  consent.OnPauseAsked(milliseconds{ 10 }, clock.Now());
  CHECK(consent.PauseLeft(clock.Now()) == milliseconds{ 1500 });
  clock.Advance(milliseconds{ 1500 });
  CHECK(consent.MayReceive(clock.Now()));
  consent.OnPauseAsked(std::chrono::hours{ 24 }, clock.Now());
  CHECK(consent.PauseLeft(clock.Now()) == seconds{ 60 });
  consent.OnLeaving();
  clock.Advance(std::chrono::hours{ 1 });
  CHECK_FALSE(consent.MayReceive(clock.Now()));
}

TEST_CASE("an engine that says that it leaves stays left, whatever its entry "
          "says, until it has started again")
{
  SomePool some;
  auto& pool = some.pool_;
  some.Heed({ .status_ = 200, .leaving_ = true });
  some.Heed({ .status_ = 200, .leaving_ = true });
  CHECK(some.told_ == std::vector<std::string>{ "e" });
  const auto now = SuspendAwareClock{}.Now();
  CHECK_FALSE(pool.StateOf(kEngine)->consent_.MayReceive(now));
  // Its entry lapses and is back, ready, as in trouble of the store.
  some.SetEngines({});
  some.SetEngines({ kEngine });
  CHECK_FALSE(pool.StateOf(kEngine)->consent_.MayReceive(now));
  auto again = kEngine;
  again.startedAt_ = 6;
  some.SetEngines({ again });
  CHECK(pool.StateOf(again)->consent_.MayReceive(now));
}

TEST_CASE("what another host heard of a leaving engine counts here too")
{
  SomePool some;
  const auto known = some.pool_.StateOf(kEngine);
  some.pool_.OnLeaving("e", 5);
  some.pool_.OnLeaving("f", 7);
  CHECK(known->consent_.IsLeaving());
  CHECK(some.told_.empty());
  const EngineEntry later{ .id_ = "f", .startedAt_ = 7 };
  CHECK(some.pool_.StateOf(later)->consent_.IsLeaving());
}

TEST_CASE("only a refusal asks for a pause")
{
  SomePool some;
  const auto now = SuspendAwareClock{}.Now();
  some.Heed({ .status_ = 500, .retryAfter_ = seconds{ 9 } });
  CHECK(some.pool_.StateOf(kEngine)->consent_.MayReceive(now));
  some.Heed({ .status_ = 503, .retryAfter_ = seconds{ 9 } });
  CHECK_FALSE(some.pool_.StateOf(kEngine)->consent_.MayReceive(now));
}

TEST_CASE("a host that ends takes what will end before it does")
{
  VirtualClock clock;
  const StopTimes times(clock.Now(), seconds{ 8 });
  const StopAdmission admission(times);
  // The platform leaves the first ones the whole time.
  CHECK(admission.Takes(seconds{ 30 }, seconds{ 30 }, clock.Now()));
  clock.Advance(milliseconds{ 2500 });
  CHECK(admission.Takes(milliseconds{ 2000 }, seconds{ 30 }, clock.Now()));
  CHECK_FALSE(
    admission.Takes(milliseconds{ 2300 }, seconds{ 30 }, clock.Now()));
  CHECK_FALSE(admission.Takes(std::nullopt, seconds{ 30 }, clock.Now()));
  // Its own deadline bounds what it may take.
  CHECK(admission.Takes(seconds{ 9 }, seconds{ 3 }, clock.Now()));
  CHECK(admission.Takes(std::nullopt, seconds{ 3 }, clock.Now()));
  clock.Advance(seconds{ 4 });
  CHECK_FALSE(admission.Takes(milliseconds{ 1 }, seconds{ 30 }, clock.Now()));
}

TEST_CASE("what a stopping host takes by what it usually takes is cut by an "
          "engine that has become slow")
{
  VirtualClock clock;
  const StopTimes times(clock.Now(), seconds{ 8 });
  const StopAdmission admission(times);
  clock.Advance(milliseconds{ 2501 });
  for (auto i = 0; i < 100; ++i) {
    for (const auto longest : { 500, 1500, 4000, 20'000 }) {
      const auto taken = admission.Takes(milliseconds{ 1 },
                                         milliseconds{ longest }, clock.Now());
      CHECK(taken ==
            (clock.Now() + milliseconds{ longest } <= times.EndAnswers()));
    }
    clock.Advance(milliseconds{ 50 });
  }
}

TEST_CASE("a stopping host breaks answers off in the last sixth of its time "
          "only, however short that is")
{
  for (const auto grace : { 1, 2, 5, 8, 30 }) {
    const TimePoint stopped = TimePoint{} + seconds{ 100 };
    const StopTimes times(stopped, seconds{ grace });
    const auto end = stopped + seconds{ grace };
    CHECK(times.EndAnswers() >= end - Duration(seconds{ grace }) / 6);
    CHECK(times.EndStreams() > times.EndAnswers());
    CHECK(times.EndStreams() < end);
    CHECK(times.ServeUntil(seconds{ 100 }) < times.EndAnswers());
  }
}

TEST_CASE("what requests take is learned from those that ended")
{
  UsualTime time;
  CHECK_FALSE(time.Usual());
  for (auto i = 0; i < 200; ++i) {
    time.OnTime(milliseconds{ i % 2 == 0 ? 900 : 1100 });
  }
  CHECK(*time.Usual() > milliseconds{ 1100 });
  CHECK(*time.Usual() < milliseconds{ 1300 });
}

} // namespace testing

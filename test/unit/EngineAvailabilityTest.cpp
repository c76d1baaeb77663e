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

struct PoolFixture
{
  asio::io_context context_;
  std::vector<std::string> reported_;
  EnginePool pool_{ context_,
                    { .onLeaving_ = [this](const EngineEntry& aEngine) {
                      reported_.push_back(aEngine.id_);
                    } } };

  PoolFixture() { SetEngines({ kEngine }); }
  auto SetEngines(const std::vector<EngineEntry>& aEntries) -> void
  {
    pool_.SetEngines(std::make_shared<const EngineList>(aEntries));
  }
  auto UpdateAvailability(const EngineResponseHead& aHead) -> void
  {
    pool_.UpdateAvailability({ .engine_ = pool_.StateOf(kEngine) }, aHead);
  }
};

} // namespace

TEST_CASE("a requested backoff holds for its whole length, up to a maximum")
{
  VirtualClock clock;
  EngineAvailability availability({ .maxBackoff_ = seconds{ 60 } });
  CHECK(availability.MayReceive(clock.Now()));
  availability.OnBackoffRequested(seconds{ 2 }, clock.Now());
  CHECK_FALSE(availability.MayReceive(clock.Now()));
  clock.Advance(milliseconds{ 500 });
  // A shorter backoff that was in transit does not end the earlier one.
  availability.OnBackoffRequested(milliseconds{ 10 }, clock.Now());
  CHECK(availability.BackoffLeft(clock.Now()) == milliseconds{ 1500 });
  clock.Advance(milliseconds{ 1500 });
  CHECK(availability.MayReceive(clock.Now()));
  availability.OnBackoffRequested(std::chrono::hours{ 24 }, clock.Now());
  CHECK(availability.BackoffLeft(clock.Now()) == seconds{ 60 });
  availability.OnLeaving();
  clock.Advance(std::chrono::hours{ 1 });
  CHECK_FALSE(availability.MayReceive(clock.Now()));
}

TEST_CASE("an engine that reports draining stays unavailable, whatever its "
          "entry says, until its next incarnation")
{
  PoolFixture fixture;
  auto& pool = fixture.pool_;
  fixture.UpdateAvailability({ .status_ = 200, .leaving_ = true });
  fixture.UpdateAvailability({ .status_ = 200, .leaving_ = true });
  CHECK(fixture.reported_ == std::vector<std::string>{ "e" });
  const auto now = SuspendAwareClock{}.Now();
  CHECK_FALSE(pool.StateOf(kEngine)->availability_.MayReceive(now));
  // The engine's entry expires and reappears as ready, as during an outage of
  // the store.
  fixture.SetEngines({});
  fixture.SetEngines({ kEngine });
  CHECK_FALSE(pool.StateOf(kEngine)->availability_.MayReceive(now));
  auto again = kEngine;
  again.startedAt_ = 6;
  fixture.SetEngines({ again });
  CHECK(pool.StateOf(again)->availability_.MayReceive(now));
}

TEST_CASE("a draining engine reported by another host is unavailable here too")
{
  PoolFixture fixture;
  const auto known = fixture.pool_.StateOf(kEngine);
  fixture.pool_.OnLeaving("e", 5);
  fixture.pool_.OnLeaving("f", 7);
  CHECK(known->availability_.IsLeaving());
  CHECK(fixture.reported_.empty());
  const EngineEntry later{ .id_ = "f", .startedAt_ = 7 };
  CHECK(fixture.pool_.StateOf(later)->availability_.IsLeaving());
}

TEST_CASE("only a refusal requests a backoff")
{
  PoolFixture fixture;
  const auto now = SuspendAwareClock{}.Now();
  fixture.UpdateAvailability({ .status_ = 500, .retryAfter_ = seconds{ 9 } });
  CHECK(fixture.pool_.StateOf(kEngine)->availability_.MayReceive(now));
  fixture.UpdateAvailability({ .status_ = 503, .retryAfter_ = seconds{ 9 } });
  CHECK_FALSE(fixture.pool_.StateOf(kEngine)->availability_.MayReceive(now));
}

TEST_CASE(
  "a host that shuts down admits requests that will complete before it exits")
{
  VirtualClock clock;
  const StopTimes times(clock.Now(), seconds{ 8 });
  const StopAdmission admission(times);
  // The platform grants the first requests the whole grace period.
  CHECK(admission.Admits(seconds{ 30 }, seconds{ 30 }, clock.Now()));
  clock.Advance(milliseconds{ 2500 });
  CHECK(admission.Admits(milliseconds{ 2000 }, seconds{ 30 }, clock.Now()));
  CHECK_FALSE(
    admission.Admits(milliseconds{ 2300 }, seconds{ 30 }, clock.Now()));
  CHECK_FALSE(admission.Admits(std::nullopt, seconds{ 30 }, clock.Now()));
  // The request's own deadline bounds its duration.
  CHECK(admission.Admits(seconds{ 9 }, seconds{ 3 }, clock.Now()));
  CHECK(admission.Admits(std::nullopt, seconds{ 3 }, clock.Now()));
  clock.Advance(seconds{ 4 });
  CHECK_FALSE(admission.Admits(milliseconds{ 1 }, seconds{ 30 }, clock.Now()));
}

TEST_CASE("once typical latencies no longer count, a host that shuts down "
          "admits only requests whose own deadline is early enough")
{
  // An engine that has become slow takes longer than the typical latency, so a
  // request admitted by that estimate could be cut off.
  VirtualClock clock;
  const StopTimes times(clock.Now(), seconds{ 8 });
  const StopAdmission admission(times);
  clock.Advance(milliseconds{ 2501 });
  for (auto i = 0; i < 100; ++i) {
    for (const auto maxDuration : { 500, 1500, 4000, 20'000 }) {
      const auto admitted = admission.Admits(
        milliseconds{ 1 }, milliseconds{ maxDuration }, clock.Now());
      CHECK(admitted == (clock.Now() + milliseconds{ maxDuration } <=
                         times.ResponseDeadline()));
    }
    clock.Advance(milliseconds{ 50 });
  }
}

TEST_CASE("a host that shuts down cuts responses off only in the last sixth of "
          "its grace period, however short that is")
{
  for (const auto grace : { 1, 2, 5, 8, 30 }) {
    const TimePoint stopped = TimePoint{} + seconds{ 100 };
    const StopTimes times(stopped, seconds{ grace });
    const auto end = stopped + seconds{ grace };
    CHECK(times.ResponseDeadline() >= end - Duration(seconds{ grace }) / 6);
    CHECK(times.EndStreams() > times.ResponseDeadline());
    CHECK(times.EndStreams() < end);
    CHECK(times.ServeUntil(seconds{ 100 }) < times.ResponseDeadline());
  }
}

TEST_CASE("the typical latency is learned from completed requests")
{
  LatencyEstimate latency;
  CHECK_FALSE(latency.Typical());
  for (auto i = 0; i < 200; ++i) {
    latency.AddSample(milliseconds{ i % 2 == 0 ? 900 : 1100 });
  }
  CHECK(*latency.Typical() > milliseconds{ 1100 });
  CHECK(*latency.Typical() < milliseconds{ 1300 });
}

} // namespace testing

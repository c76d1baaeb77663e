#include <doctest/doctest.h>
#include <goldcrestcroft/Engines.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

const TimePoint kNow{ std::chrono::hours{ 1 } };

auto After(AttemptOutcome aOutcome, AttemptRecord aBefore = {}) -> AttemptRecord
{
  return Count(aBefore, aOutcome);
}

} // namespace

TEST_CASE(
  "a request that may have run goes to another engine only if it is idempotent")
{
  const Route unsafe{ .kind_ = RouteKind::Unsafe, .maxAttempts_ = 3 };
  const Route safe{ .kind_ = RouteKind::Safe, .maxAttempts_ = 2 };
  const Route stream{ .kind_ = RouteKind::Streaming, .maxAttempts_ = 2 };
  const Route resumable{ .kind_ = RouteKind::Streaming,
                         .maxAttempts_ = 2,
                         .resumable_ = true };
  for (const auto outcome : { AttemptOutcome::Lost, AttemptOutcome::Unrecorded,
                              AttemptOutcome::ErrorResponse }) {
    CHECK(DecideNext(unsafe, After(outcome), outcome) == NextStep::Stop);
    CHECK(DecideNext(stream, After(outcome), outcome) == NextStep::Stop);
    CHECK(DecideNext(safe, After(outcome), outcome) == NextStep::TryAnother);
    CHECK(DecideNext(resumable, After(outcome), outcome) ==
          NextStep::TryAnother);
    const auto twice = After(outcome, After(outcome));
    CHECK(DecideNext(safe, twice, outcome) == NextStep::Stop);
  }
}

TEST_CASE(
  "a request that has certainly not run goes to another engine, within bounds")
{
  const Route unsafe{ .kind_ = RouteKind::Unsafe };
  const AttemptLimits limits;
  AttemptRecord record;
  for (std::size_t i = 0; i < limits.maxRejected_; ++i) {
    record = After(AttemptOutcome::Rejected, record);
    CHECK(DecideNext(unsafe, record, AttemptOutcome::Rejected) ==
          NextStep::TryAnother);
  }
  record = After(AttemptOutcome::Rejected, record);
  CHECK(DecideNext(unsafe, record, AttemptOutcome::Rejected) == NextStep::Stop);
  CHECK(WhyStopped(unsafe, AttemptOutcome::Rejected) == "attempts_used");
  CHECK(WhyStopped(unsafe, AttemptOutcome::Lost) == "not_idempotent");
  CHECK(DecideNext(unsafe, After(AttemptOutcome::Unreachable),
                   AttemptOutcome::Unreachable) == NextStep::TryAnother);
  CHECK(DecideNext(unsafe, After(AttemptOutcome::InputsLost),
                   AttemptOutcome::InputsLost) == NextStep::ReproduceInputs);
}

TEST_CASE("consecutive failures suspend an engine, longer each time")
{
  EngineHealth health;
  health.OnFailure(EngineFailure::Failed, kNow, kNow);
  health.OnFailure(EngineFailure::Failed, kNow, kNow);
  CHECK(health.IsUsable(kNow));
  health.OnFailure(EngineFailure::Failed, kNow, kNow);
  CHECK_FALSE(health.IsUsable(kNow + milliseconds{ 999 }));
  CHECK(health.IsUsable(kNow + milliseconds{ 1000 }));
  CHECK(health.IsOnTrial());
  const auto later = kNow + std::chrono::seconds{ 2 };
  health.OnFailure(EngineFailure::Failed, later, later);
  CHECK_FALSE(health.IsUsable(later + milliseconds{ 1999 }));
  health.OnSuccess();
  CHECK_FALSE(health.IsOnTrial());
}

TEST_CASE("a success between failures keeps an engine in use")
{
  EngineHealth health;
  for (auto i = 0; i < 10; ++i) {
    health.OnFailure(EngineFailure::Failed, kNow, kNow);
    health.OnFailure(EngineFailure::Failed, kNow, kNow);
    health.OnSuccess();
  }
  CHECK(health.IsUsable(kNow));
  CHECK(health.FailureShare() > 0.3);
}

TEST_CASE(
  "the home of a prompt is the same on all hosts, unless it is overloaded")
{
  std::vector<EngineCandidate> engines;
  for (const auto* id : { "a", "b", "c", "d" }) {
    engines.push_back({ .id_ = id, .zone_ = "z", .slots_ = 10.0 });
  }
  const auto home = ChooseHome(engines, {}, "part");
  REQUIRE(home);
  auto reversed = engines;
  std::reverse(reversed.begin(), reversed.end());
  CHECK(reversed[*ChooseHome(reversed, {}, "part")].id_ == engines[*home].id_);
  engines[*home].ownRequests_ = 9.0;
  CHECK(*ChooseHome(engines, {}, "part") != *home);
  CHECK_FALSE(ChooseHome({}, {}, "part"));
}

TEST_CASE("homes are distributed by weight")
{
  std::vector<EngineCandidate> engines{ { .id_ = "a", .homeWeight_ = 3.0 },
                                        { .id_ = "b", .homeWeight_ = 1.0 } };
  auto toA = 0;
  for (auto i = 0; i < 2000; ++i) {
    toA += *ChooseHome(engines, {}, std::to_string(i)) == 0 ? 1 : 0;
  }
  CHECK(toA > 1400);
  CHECK(toA < 1600);
}

TEST_CASE(
  "the least loaded engine is chosen, with a preference for the own zone")
{
  std::vector<EngineCandidate> engines{
    { .id_ = "a", .zone_ = "z1", .slots_ = 6.0, .ownRequests_ = 2.0 },
    { .id_ = "b", .zone_ = "z2", .slots_ = 6.0, .ownRequests_ = 2.0 },
    { .id_ = "c", .zone_ = "z2", .slots_ = 6.0, .reportedRequests_ = 6.0 }
  };
  CHECK(*ChooseLeastLoaded(engines, { .ownZone_ = "z2" }, "r") == 1);
  engines[1].ownRequests_ = 6.0;
  CHECK(*ChooseLeastLoaded(engines, { .ownZone_ = "z2" }, "r") == 0);
}

TEST_CASE("a suspended engine is a last resort while it can be reached and "
          "serves some requests")
{
  EngineHealth health;
  for (auto i = 0; i < 3; ++i) {
    health.OnFailure(EngineFailure::Failed, kNow, kNow);
  }
  CHECK_FALSE(health.IsUsable(kNow));
  CHECK(health.IsLastResort());
  for (auto i = 0; i < 10; ++i) {
    health.OnFailure(EngineFailure::Failed, kNow, kNow);
  }
  CHECK_FALSE(health.IsLastResort());
  EngineHealth unreachable;
  unreachable.OnFailure(EngineFailure::Unreachable, kNow, kNow);
  CHECK_FALSE(unreachable.IsLastResort());
  unreachable.OnSuccess();
  CHECK(unreachable.IsLastResort());
}

TEST_CASE(
  "the last shared part of a prompt identifies what an engine may have cached")
{
  CHECK(SharedPartId({ { "a", 1 }, { "b", 2 }, { "c", 3 } }) == "b");
  CHECK(SharedPartId({ { "own", 5 } }).empty());
  CHECK(SharedPartId({}).empty());
}

} // namespace testing

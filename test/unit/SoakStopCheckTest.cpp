#include "../soak/SoakChecker.h"
#include "../soak/StopCheck.h"

#include <doctest/doctest.h>

namespace testing {

using namespace goldcrestcroft;
using namespace soak;
using namespace std::chrono_literals;

namespace {

const TimePoint kSigterm{ 100s };
constexpr Duration kGrace = 6s;

/** A host that got SIGTERM, and one request that overlaps its stop. */
struct StoppedWorld
{
  CallRecord call_{ .id_ = "r", .incarnation_ = 1, .kind_ = CallKind::Safe };
  StopRecord stop_{ .incarnation_ = 1, .at_ = kSigterm, .grace_ = kGrace };
  FaultLog faultLog_;
  std::vector<standins::EngineStandin::Arrival> arrivals_;
  /** At another engine. */
  std::vector<standins::EngineStandin::Arrival> elsewhere_;

  /** The connection ends without a response; times are relative to SIGTERM. */
  auto Cut(Duration aSent, Duration aEnded) -> void
  {
    call_.sentAt_ = kSigterm + aSent;
    call_.endedAt_ = kSigterm + aEnded;
    call_.timeout_ = 3s;
  }
  auto Run(Duration aFrom, std::optional<Duration> aDone = {}) -> void
  {
    arrivals_.push_back(
      { .requestId_ = call_.id_,
        .workspace_ = "w1",
        .at_ = kSigterm + aFrom,
        .doneAt_ = aDone ? kSigterm + *aDone : TimePoint::max() });
  }
  auto RunElsewhere(Duration aFrom, bool aRan) -> void
  {
    elsewhere_.push_back({ .requestId_ = call_.id_,
                           .workspace_ = "w1",
                           .at_ = kSigterm + aFrom,
                           .ran_ = aRan });
  }
  [[nodiscard]] auto MakeEvidence(const std::vector<CallRecord>& aCalls) const
    -> SoakEvidence
  {
    return { .calls_ = aCalls,
             .faultLog_ = faultLog_,
             .drains_ = kNoDrains,
             .arrivals_ = { { "e", arrivals_ }, { "f", elsewhere_ } },
             .serviceOfEngine_ = { { "e", "desk" }, { "f", "desk" } },
             .hosts_ = 1,
             .stops_ = { stop_ } };
  }
  /** All violations that the checker reports. */
  [[nodiscard]] auto Violations() const -> std::vector<std::string>
  {
    const std::vector<CallRecord> calls{ call_ };
    return FindViolations(MakeEvidence(calls));
  }

  inline static const std::vector<DrainRecord> kNoDrains{};
};

} // namespace

TEST_CASE("SoakChecker reports each request lost at an undisturbed stop")
{
  StoppedWorld world;
  SUBCASE("one that ran and was cut while the host was still serving")
  {
    world.Cut(100ms, 500ms);
    world.Run(110ms);
  }
  SUBCASE("one that was sent before SIGTERM")
  {
    world.Cut(-1s, 10ms);
    world.Run(-900ms);
  }
  SUBCASE("one cut before the last sixth of the grace period")
  {
    world.Cut(3s, 4990ms);
    world.Run(3010ms);
  }
  SUBCASE("one sent later than 3 s after SIGTERM and cut at the end")
  {
    world.Cut(3010ms, 5500ms);
    world.Run(3020ms);
  }
  SUBCASE("one whose engine finished before the last sixth")
  {
    world.Cut(2800ms, 5500ms);
    world.Run(2810ms, 4900ms);
  }
  SUBCASE("one whose engine refused it")
  {
    world.Cut(2800ms, 5500ms);
    world.Run(2810ms);
    world.arrivals_.back().ran_ = false;
  }
  SUBCASE("one cut right after the grace period")
  {
    world.Cut(4500ms, 6900ms);
    world.Run(4510ms);
  }
  SUBCASE("one that another engine still ran after the first aborted it")
  {
    world.Cut(100ms, 500ms);
    world.Run(110ms);
    world.faultLog_.Begin(BreakPart("e"), kSigterm + 200ms);
    world.RunElsewhere(210ms, true);
  }
  SUBCASE("one whose engine aborted requests only before it arrived")
  {
    world.Cut(100ms, 500ms);
    world.Run(110ms);
    world.faultLog_.End(world.faultLog_.Begin(BreakPart("e"), kSigterm),
                        kSigterm + 105ms);
  }
  SUBCASE("a stream that has begun")
  {
    world.call_.kind_ = CallKind::Stream;
    world.call_.status_ = 200;
    world.Cut(100ms, 500ms);
    world.Run(110ms);
  }
  SUBCASE("one that waited and reached no engine")
  {
    world.Cut(100ms, 310ms);
  }
  SUBCASE("a fault of the store excuses streams only")
  {
    world.faultLog_.Begin(kStorePart, kSigterm);
    world.Cut(100ms, 500ms);
    world.Run(110ms);
  }
  SUBCASE("a slow engine has aborted nothing")
  {
    world.faultLog_.Begin(EnginePart("e"), kSigterm);
    world.Cut(100ms, 500ms);
    world.Run(110ms);
  }
  REQUIRE(world.Violations().size() == 1);
  CHECK(world.Violations()[0].starts_with("lost: host 0/1"));
}

TEST_CASE("SoakChecker excuses losses at a stop as the rules do")
{
  StoppedWorld world;
  world.Cut(100ms, 500ms);
  SUBCASE("a complete response")
  {
    world.Run(110ms, 490ms);
    world.call_.status_ = 200;
    world.call_.complete_ = true;
  }
  SUBCASE("a refusal")
  {
    world.call_.status_ = 503;
    world.call_.complete_ = true;
  }
  SUBCASE("the engine aborted it")
  {
    world.Run(110ms);
    world.faultLog_.Begin(BreakPart("e"), kSigterm + 400ms);
  }
  SUBCASE("the engine aborted it and another one refused it")
  {
    world.Run(110ms);
    world.faultLog_.Begin(BreakPart("e"), kSigterm + 200ms);
    world.RunElsewhere(210ms, false);
  }
  SUBCASE("one engine failed it and the other aborted it")
  {
    world.Run(110ms, 150ms);
    world.RunElsewhere(160ms, true);
    world.faultLog_.Begin(BreakPart("f"), kSigterm + 400ms);
  }
  SUBCASE("the deadline was reached")
  {
    world.Run(110ms);
    world.call_.timeout_ = 400ms;
  }
  SUBCASE("the engine was running it in the last sixth")
  {
    world.Cut(2990ms, 5500ms);
    world.Run(3s);
  }
  SUBCASE("the caller disconnected")
  {
    world.Run(110ms);
    world.call_.abandoned_ = true;
  }
  SUBCASE("it may have crossed the close of the connection")
  {
    world.Cut(100ms, 290ms);
  }
  SUBCASE("the host had already exited")
  {
    world.stop_.endedAt_ = kSigterm + 90ms;
  }
  SUBCASE("the host had a fault less than the contact time before")
  {
    world.Run(110ms);
    world.faultLog_.End(world.faultLog_.Begin(HostPart(0), kSigterm - 4s),
                        kSigterm - 3800ms);
  }
  SUBCASE("the store had a fault, and it is a stream")
  {
    world.Run(110ms);
    world.call_.kind_ = CallKind::Stream;
    world.faultLog_.Begin(kStorePart, kSigterm);
  }
  SUBCASE("it went to another process of the host")
  {
    world.Run(110ms);
    world.call_.incarnation_ = 2;
  }
  SUBCASE("it ended long after the grace period")
  {
    world.Cut(5500ms, 7010ms);
    world.Run(5510ms);
  }
  CHECK(world.Violations().empty());
}

TEST_CASE(
  "the summary counts unsafe requests that fail late at an undisturbed stop")
{
  StoppedWorld world;
  world.call_.kind_ = CallKind::Unsafe;
  world.call_.status_ = 502;
  world.call_.complete_ = true;
  world.Cut(3010ms, 5s);
  const auto summary = [&] {
    const std::vector<CallRecord> calls{ world.call_ };
    return SummariseStops(world.MakeEvidence(calls));
  };
  CHECK(summary().find(" 1 unsafe") != std::string::npos);
  CHECK(world.Violations().empty());
  world.Cut(2990ms, 5s);
  CHECK(summary().find(" 0 unsafe") != std::string::npos);
}

TEST_CASE("each seed has one undisturbed stop, of a host that is not killed")
{
  constexpr std::size_t kHosts = 4;
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    const auto stop = MakeUndisturbedStop(seed, kHosts);
    CHECK(stop.kind_ == FaultKind::HostStop);
    CHECK(stop.target_ < kHosts);
    CHECK(stop.variant_ % 4 != 0);
    CHECK(stop.at_ > kContactTime);
  }
}

} // namespace testing

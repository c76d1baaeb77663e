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

/** A host that was told to stop, and one request that met it. */
struct StoppedWorld
{
  CallRecord call_{ .id_ = "r", .life_ = 1, .kind_ = CallKind::Safe };
  StopRecord stop_{ .life_ = 1, .at_ = kSigterm, .grace_ = kGrace };
  Disturbances harm_;
  std::vector<standins::EngineStandin::Arrival> arrivals_;
  /** At another engine. */
  std::vector<standins::EngineStandin::Arrival> elsewhere_;

  /** Times are from SIGTERM on; the connection ends without an answer. */
  auto Cut(Duration aSent, Duration aEnded) -> void
  {
    call_.sentAt_ = kSigterm + aSent;
    call_.endedAt_ = kSigterm + aEnded;
    call_.timeLeft_ = 3s;
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
  [[nodiscard]] auto Seen(const std::vector<CallRecord>& aCalls) const
    -> SoakEvidence
  {
    return { .calls_ = aCalls,
             .harm_ = harm_,
             .drains_ = kNoDrains,
             .arrivals_ = { { "e", arrivals_ }, { "f", elsewhere_ } },
             .serviceOfEngine_ = { { "e", "desk" }, { "f", "desk" } },
             .hosts_ = 1,
             .stops_ = { stop_ } };
  }
  /** All that the soak reports. */
  [[nodiscard]] auto Broken() const -> std::vector<std::string>
  {
    const std::vector<CallRecord> calls{ call_ };
    return FindBrokenPromises(Seen(calls));
  }

  inline static const std::vector<DrainRecord> kNoDrains{};
};

} // namespace

TEST_CASE("the soak's checker finds each request lost at a stop in calm")
{
  StoppedWorld world;
  SUBCASE("one that ran and was cut while the host served on")
  {
    world.Cut(100ms, 500ms);
    world.Run(110ms);
  }
  SUBCASE("one that was sent before SIGTERM")
  {
    world.Cut(-1s, 10ms);
    world.Run(-900ms);
  }
  SUBCASE("one cut before the last sixth of the grace")
  {
    world.Cut(3s, 4990ms);
    world.Run(3010ms);
  }
  SUBCASE("one sent later than 3 s after SIGTERM and cut at the end")
  {
    world.Cut(3010ms, 5500ms);
    world.Run(3020ms);
  }
  SUBCASE("one whose engine was done before the last sixth")
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
  SUBCASE("one cut right after the grace")
  {
    world.Cut(4500ms, 6900ms);
    world.Run(4510ms);
  }
  SUBCASE("one that another engine still ran after the first broke off")
  {
    world.Cut(100ms, 500ms);
    world.Run(110ms);
    world.harm_.Begin(BreakPart("e"), kSigterm + 200ms);
    world.RunElsewhere(210ms, true);
  }
  SUBCASE("one whose engine broke off before it was asked")
  {
    world.Cut(100ms, 500ms);
    world.Run(110ms);
    world.harm_.End(world.harm_.Begin(BreakPart("e"), kSigterm),
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
  SUBCASE("trouble of the store excuses nothing for what is no stream")
  {
    world.harm_.Begin(kStorePart, kSigterm);
    world.Cut(100ms, 500ms);
    world.Run(110ms);
  }
  SUBCASE("an engine that is slow has broken nothing off")
  {
    world.harm_.Begin(EnginePart("e"), kSigterm);
    world.Cut(100ms, 500ms);
    world.Run(110ms);
  }
  REQUIRE(world.Broken().size() == 1);
  CHECK(world.Broken()[0].starts_with("lost: host 0/1"));
}

TEST_CASE("the soak's checker excuses at a stop what the rules excuse")
{
  StoppedWorld world;
  world.Cut(100ms, 500ms);
  SUBCASE("a whole answer")
  {
    world.Run(110ms, 490ms);
    world.call_.status_ = 200;
    world.call_.whole_ = true;
  }
  SUBCASE("a refusal")
  {
    world.call_.status_ = 503;
    world.call_.whole_ = true;
  }
  SUBCASE("the engine broke off")
  {
    world.Run(110ms);
    world.harm_.Begin(BreakPart("e"), kSigterm + 400ms);
  }
  SUBCASE("the engine broke off and another one refused it")
  {
    world.Run(110ms);
    world.harm_.Begin(BreakPart("e"), kSigterm + 200ms);
    world.RunElsewhere(210ms, false);
  }
  SUBCASE("one engine failed it and the other broke off")
  {
    world.Run(110ms, 150ms);
    world.RunElsewhere(160ms, true);
    world.harm_.Begin(BreakPart("f"), kSigterm + 400ms);
  }
  SUBCASE("the deadline was reached")
  {
    world.Run(110ms);
    world.call_.timeLeft_ = 400ms;
  }
  SUBCASE("the engine was at work in the last sixth")
  {
    world.Cut(2990ms, 5500ms);
    world.Run(3s);
  }
  SUBCASE("the caller left")
  {
    world.Run(110ms);
    world.call_.gaveUp_ = true;
  }
  SUBCASE("it may have crossed the close")
  {
    world.Cut(100ms, 290ms);
  }
  SUBCASE("nobody was there any more")
  {
    world.stop_.endedAt_ = kSigterm + 90ms;
  }
  SUBCASE("the host was harmed less than the contact time before")
  {
    world.Run(110ms);
    world.harm_.End(world.harm_.Begin(HostPart(0), kSigterm - 4s),
                    kSigterm - 3800ms);
  }
  SUBCASE("the store was in trouble, and it is a stream")
  {
    world.Run(110ms);
    world.call_.kind_ = CallKind::Stream;
    world.harm_.Begin(kStorePart, kSigterm);
  }
  SUBCASE("another process of the host")
  {
    world.Run(110ms);
    world.call_.life_ = 2;
  }
  SUBCASE("long after the grace")
  {
    world.Cut(5500ms, 7010ms);
    world.Run(5510ms);
  }
  CHECK(world.Broken().empty());
}

TEST_CASE("the soak counts unsafe requests that a stop in calm fails late")
{
  StoppedWorld world;
  world.call_.kind_ = CallKind::Unsafe;
  world.call_.status_ = 502;
  world.call_.whole_ = true;
  world.Cut(3010ms, 5s);
  const auto told = [&] {
    const std::vector<CallRecord> calls{ world.call_ };
    return TellOfStops(world.Seen(calls));
  };
  CHECK(told().find(" 1 unsafe") != std::string::npos);
  CHECK(world.Broken().empty());
  world.Cut(2990ms, 5s);
  CHECK(told().find(" 0 unsafe") != std::string::npos);
}

TEST_CASE("each seed has one stop in calm, of a host that is not killed")
{
  constexpr std::size_t kHosts = 4;
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    const auto stop = MakeCalmStop(seed, kHosts);
    CHECK(stop.kind_ == FaultKind::HostStop);
    CHECK(stop.target_ < kHosts);
    CHECK(stop.variant_ % 4 != 0);
    CHECK(stop.at_ > kContact);
  }
}

} // namespace testing

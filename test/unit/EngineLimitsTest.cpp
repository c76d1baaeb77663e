#include <doctest/doctest.h>
#include <goldcrestcroft/Engines.h>
#include <goldcrestcroft/src/Gateway/EngineExchange.h>
#include <goldcrestcroft/src/Gateway/PeerFrames.h>

namespace testing {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const EngineIncarnation kStart{ "e", 5 };
const EngineEntry kEngine{ .id_ = "e",
                           .service_ = "s",
                           .address_ = "10.0.0.1:1",
                           .startedAt_ = 5 };

auto LimitAt(std::optional<double> aPerSecond, TimePoint aAt) -> EngineLimit
{
  return { .engine_ = kStart.first,
           .startedAt_ = kStart.second,
           .perSecond_ = aPerSecond,
           .statedAt_ = aAt };
}

struct LimitedPoolFixture
{
  asio::io_context context_;
  std::vector<EngineLimit> reported_;
  EnginePool pool_{ context_, { .onLimit_ = [this](const EngineLimit& aUpdate) {
                      reported_.push_back(aUpdate);
                    } } };

  LimitedPoolFixture()
  {
    pool_.SetEngines(
      std::make_shared<const EngineList>(std::vector{ kEngine }));
  }
  auto UpdateAvailability(int aStatus, std::vector<std::string> aLimits,
                          TimePoint aTakenAt = SuspendAwareClock{}.Now())
    -> void
  {
    pool_.UpdateAvailability(
      { .engine_ = pool_.StateOf(kEngine), .takenAt_ = aTakenAt },
      { .status_ = aStatus, .limits_ = std::move(aLimits) });
  }
  auto Limit() -> std::optional<double>
  {
    return pool_.StateOf(kEngine)->limit_;
  }
};

} // namespace

TEST_CASE("only a finite decimal number, zero or more, is accepted as a limit")
{
  CHECK(*ParseLimit("1.2") == 1.2);
  CHECK(*ParseLimit("0") == 0.0);
  CHECK(*ParseLimit("0.01") == 0.01);
  CHECK(*ParseLimit("1e9") == 1e9);
  for (const auto* text : { "", "-1", "-0.0", "nan", "inf", "1,5", "two",
                            "1 a second", "1e999", "0x10" }) {
    CAPTURE(text);
    CHECK_FALSE(ParseLimit(text));
  }
}

TEST_CASE("an unreadable limit or the response of another engine leaves the "
          "known limit unchanged; of several limits the lowest holds")
{
  LimitedPoolFixture fixture;
  fixture.UpdateAvailability(200, { "2" });
  REQUIRE(fixture.Limit() == 2.0);
  fixture.UpdateAvailability(200, { "many" });
  CHECK(fixture.Limit() == 2.0);
  fixture.UpdateAvailability(200, { "1", "" });
  CHECK(fixture.Limit() == 2.0);
  fixture.UpdateAvailability(421, {});
  fixture.UpdateAvailability(421, { "9" });
  CHECK(fixture.Limit() == 2.0);
  fixture.UpdateAvailability(200, { "3", "1.5" });
  CHECK(fixture.Limit() == 1.5);
}

TEST_CASE("a limit is lifted by a successful response to a request that was "
          "sent after the limit became known, and by no other")
{
  LimitedPoolFixture fixture;
  const auto before = SuspendAwareClock{}.Now() - milliseconds{ 1 };
  fixture.UpdateAvailability(200, { "2" });
  fixture.UpdateAvailability(200, {}, before);
  CHECK(fixture.Limit() == 2.0);
  const auto later = SuspendAwareClock{}.Now() + milliseconds{ 1 };
  fixture.UpdateAvailability(503, {}, later);
  CHECK(fixture.Limit() == 2.0);
  fixture.UpdateAvailability(200, {}, later);
  CHECK_FALSE(fixture.Limit());
  REQUIRE(fixture.reported_.size() == 2);
  CHECK(fixture.reported_.front().perSecond_ == 2.0);
  CHECK_FALSE(fixture.reported_.back().perSecond_);
}

TEST_CASE("a limit received from another host applies here, to that "
          "incarnation of the engine only")
{
  LimitedPoolFixture fixture;
  const auto now = SuspendAwareClock{}.Now();
  fixture.pool_.OnLimit(LimitAt(0.5, now));
  CHECK(fixture.Limit() == 0.5);
  CHECK(fixture.reported_.empty());
  auto again = kEngine;
  again.startedAt_ = 6;
  fixture.pool_.SetEngines(
    std::make_shared<const EngineList>(std::vector{ again }));
  CHECK_FALSE(fixture.pool_.StateOf(again)->limit_);
  // The engine's entry expires and reappears.
  fixture.pool_.SetEngines(
    std::make_shared<const EngineList>(std::vector{ kEngine }));
  CHECK(fixture.Limit() == 0.5);
}

TEST_CASE("limit updates converge to the same state in every order")
{
  VirtualClock clock;
  const auto at = clock.Now();
  clock.Advance(seconds{ 10 });
  std::vector<EngineLimit> updates{ LimitAt(1.0, at + seconds{ 1 }),
                                    LimitAt(std::nullopt, at + seconds{ 3 }),
                                    LimitAt(2.0, at + seconds{ 5 }),
                                    LimitAt(std::nullopt, at + seconds{ 7 }) };
  const auto earlier = [](const EngineLimit& aLeft, const EngineLimit& aRight) {
    return aLeft.statedAt_ < aRight.statedAt_;
  };
  do {
    LimitTable board;
    for (const auto& update : updates) {
      board.Merge(update, clock.Now());
    }
    CHECK(*board.Find(kStart) == LimitAt(std::nullopt, at + seconds{ 7 }));
  } while (std::next_permutation(updates.begin(), updates.end(), earlier));
}

TEST_CASE("hosts that exchange the same update do not make it newer")
{
  VirtualClock clock;
  LimitTable one;
  LimitTable other;
  const auto at = clock.Now();
  REQUIRE(one.Merge(LimitAt(1.0, at), at) == LimitTable::MergeResult::Changed);
  for (auto i = 0; i < 600; ++i) {
    clock.Advance(milliseconds{ 100 });
    // The transit takes 50 ms, which no age includes.
    const auto later = [](EngineLimit aUpdate) {
      aUpdate.statedAt_ += milliseconds{ 50 };
      return aUpdate;
    };
    other.Merge(later(one.TakeUpdates(1).front()), clock.Now());
    one.Merge(later(other.TakeUpdates(1).front()), clock.Now());
  }
  CHECK(one.Find(kStart)->statedAt_ == at);
  CHECK(other.Find(kStart)->statedAt_ - at <= milliseconds{ 50 });
}

TEST_CASE("all limits are sent in turn, are given to a host that starts and "
          "are kept while they may be in force; a lifted limit expires")
{
  VirtualClock clock;
  LimitTable board(
    { .keepLimits_ = seconds{ 100 }, .keepLifted_ = seconds{ 9 } });
  for (auto i = 0; i < 40; ++i) {
    board.Merge({ .engine_ = "e" + std::to_string(i),
                  .perSecond_ = 1.0,
                  .statedAt_ = clock.Now() },
                clock.Now());
  }
  std::set<std::string> sent;
  for (auto i = 0; i < 100; ++i) {
    for (const auto& update : board.TakeUpdates(4)) {
      sent.insert(update.engine_);
    }
  }
  CHECK(sent.size() == 40);
  CHECK(board.InForce(100).size() == 40);
  clock.Advance(seconds{ 50 });
  board.Merge({ .engine_ = "e0", .statedAt_ = clock.Now() }, clock.Now());
  CHECK(board.InForce(100).size() == 39);
  clock.Advance(seconds{ 10 });
  board.Expire(clock.Now());
  CHECK(board.Size() == 39);
  clock.Advance(seconds{ 40 });
  board.Expire(clock.Now());
  CHECK(board.Size() == 0);
}

TEST_CASE("permit requests do not use up the updates that go to all hosts")
{
  VirtualClock clock;
  FailureDetector detector({ .self_ = { .host_ = { "a" } } }, 1, clock.Now());
  detector.OnMessage({ .sender_ = { .host_ = { "b" },
                                    .incarnation_ = 1,
                                    .peerAddress_ = "10.0.0.2:1" },
                       .kind_ = ProbeKind::Ack },
                     clock.Now());
  detector.SetLeaving();
  for (auto i = 0; i < 1000; ++i) {
    CHECK(detector.WithoutUpdates().updates_.empty());
  }
  CHECK_FALSE(detector.PushTo("10.0.0.2:1").front().message_.updates_.empty());
}

TEST_CASE("limits and permits survive the transfer between hosts, and an "
          "invalid limit is rejected")
{
  VirtualClock clock;
  const auto now = clock.Now();
  const FleetHeartbeat beat{
    .limits_ = { ToReport(LimitAt(1.5, now - seconds{ 3 }), now),
                 ToReport(LimitAt(std::nullopt, now), now) },
    .permitQueries_ = { { .number_ = 7,
                          .limit_ = ToReport(LimitAt(2.0, now), now),
                          .maxWait_ = milliseconds{ 30 } } },
    .permits_ = { { .number_ = 8,
                    .permit_ = { .granted_ = true,
                                 .wait_ = milliseconds{ 5 } } } }
  };
  CHECK(DecodeHeartbeat(EncodeHeartbeat(beat)).value() == beat);
  CHECK(FromReport(beat.limits_.front(), now) ==
        LimitAt(1.5, now - seconds{ 3 }));
  auto bad = beat;
  bad.limits_.front().perSecond_ = -1.0;
  CHECK_FALSE(DecodeHeartbeat(EncodeHeartbeat(bad)));
}

} // namespace testing

#include <doctest/doctest.h>
#include <goldcrestcroft/Engines.h>
#include <goldcrestcroft/src/Gateway/EngineExchange.h>
#include <goldcrestcroft/src/Gateway/PeerFrames.h>

namespace testing {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const EngineStart kStart{ "e", 5 };
const EngineEntry kEngine{ .id_ = "e",
                           .service_ = "s",
                           .address_ = "10.0.0.1:1",
                           .startedAt_ = 5 };

auto Word(std::optional<double> aPerSecond, TimePoint aAt) -> EngineLimit
{
  return { .engine_ = kStart.first,
           .startedAt_ = kStart.second,
           .perSecond_ = aPerSecond,
           .statedAt_ = aAt };
}

struct LimitedPool
{
  asio::io_context context_;
  std::vector<EngineLimit> told_;
  EnginePool pool_{ context_, { .onLimit_ = [this](const EngineLimit& aWord) {
                      told_.push_back(aWord);
                    } } };

  LimitedPool()
  {
    pool_.SetEngines(
      std::make_shared<const EngineList>(std::vector{ kEngine }));
  }
  auto Heed(int aStatus, std::vector<std::string> aLimits,
            TimePoint aTakenAt = SuspendAwareClock{}.Now()) -> void
  {
    pool_.Heed({ .engine_ = pool_.StateOf(kEngine), .takenAt_ = aTakenAt },
               { .status_ = aStatus, .limits_ = std::move(aLimits) });
  }
  auto Limit() -> std::optional<double>
  {
    return pool_.StateOf(kEngine)->limit_;
  }
};

} // namespace

TEST_CASE("a limit that is no number is taken for one")
{
  CHECK(*ReadLimit("1.2") == 1.2);
  CHECK(*ReadLimit("0") == 0.0);
  CHECK(*ReadLimit("0.01") == 0.01);
  CHECK(*ReadLimit("1e9") == 1e9);
  for (const auto* text : { "", "-1", "-0.0", "nan", "inf", "1,5", "two",
                            "1 a second", "1e999", "0x10" }) {
    CAPTURE(text);
    CHECK_FALSE(ReadLimit(text));
  }
}

TEST_CASE("an unreadable limit, or the answer of another engine, changes what "
          "is known; of several limits another than the least holds")
{
  LimitedPool some;
  some.Heed(200, { "2" });
  REQUIRE(some.Limit() == 2.0);
  some.Heed(200, { "many" });
  CHECK(some.Limit() == 2.0);
  some.Heed(200, { "1", "" });
  CHECK(some.Limit() == 2.0);
  some.Heed(421, {});
  some.Heed(421, { "9" });
  CHECK(some.Limit() == 2.0);
  some.Heed(200, { "3", "1.5" });
  CHECK(some.Limit() == 1.5);
}

TEST_CASE("an answer that was on its way when a limit was named ends it, or "
          "one that was sent later does not")
{
  LimitedPool some;
  const auto before = SuspendAwareClock{}.Now() - milliseconds{ 1 };
  some.Heed(200, { "2" });
  some.Heed(200, {}, before);
  CHECK(some.Limit() == 2.0);
  const auto later = SuspendAwareClock{}.Now() + milliseconds{ 1 };
  some.Heed(503, {}, later);
  CHECK(some.Limit() == 2.0);
  some.Heed(200, {}, later);
  CHECK_FALSE(some.Limit());
  REQUIRE(some.told_.size() == 2);
  CHECK(some.told_.front().perSecond_ == 2.0);
  CHECK_FALSE(some.told_.back().perSecond_);
}

TEST_CASE("what other hosts heard of a limit does not count here, or counts "
          "for another start of the engine")
{
  LimitedPool some;
  const auto now = SuspendAwareClock{}.Now();
  some.pool_.OnLimit(Word(0.5, now));
  CHECK(some.Limit() == 0.5);
  CHECK(some.told_.empty());
  auto again = kEngine;
  again.startedAt_ = 6;
  some.pool_.SetEngines(
    std::make_shared<const EngineList>(std::vector{ again }));
  CHECK_FALSE(some.pool_.StateOf(again)->limit_);
  // Its entry lapses and is back.
  some.pool_.SetEngines(
    std::make_shared<const EngineList>(std::vector{ kEngine }));
  CHECK(some.Limit() == 0.5);
}

TEST_CASE("words on a limit lead to another end in another order")
{
  VirtualClock clock;
  const auto at = clock.Now();
  clock.Advance(seconds{ 10 });
  std::vector<EngineLimit> words{ Word(1.0, at + seconds{ 1 }),
                                  Word(std::nullopt, at + seconds{ 3 }),
                                  Word(2.0, at + seconds{ 5 }),
                                  Word(std::nullopt, at + seconds{ 7 }) };
  const auto earlier = [](const EngineLimit& aLeft, const EngineLimit& aRight) {
    return aLeft.statedAt_ < aRight.statedAt_;
  };
  do {
    LimitBoard board;
    for (const auto& word : words) {
      board.Merge(word, clock.Now());
    }
    CHECK(*board.Find(kStart) == Word(std::nullopt, at + seconds{ 7 }));
  } while (std::next_permutation(words.begin(), words.end(), earlier));
}

TEST_CASE("hosts that tell each other the same word make it younger each time")
{
  VirtualClock clock;
  LimitBoard one;
  LimitBoard other;
  const auto at = clock.Now();
  REQUIRE(one.Merge(Word(1.0, at), at) == LimitBoard::Merged::Changed);
  for (auto i = 0; i < 600; ++i) {
    clock.Advance(milliseconds{ 100 });
    // The way takes 50 ms that no age counts.
    const auto later = [](EngineLimit aWord) {
      aWord.statedAt_ += milliseconds{ 50 };
      return aWord;
    };
    other.Merge(later(one.Tell(1).front()), clock.Now());
    one.Merge(later(other.Tell(1).front()), clock.Now());
  }
  CHECK(one.Find(kStart)->statedAt_ == at);
  CHECK(other.Find(kStart)->statedAt_ - at <= milliseconds{ 50 });
}

TEST_CASE("a limit is forgotten while it may be in force, or its end is told "
          "for ever; a host that starts is not told of all")
{
  VirtualClock clock;
  LimitBoard board(
    { .keepLimits_ = seconds{ 100 }, .keepEnds_ = seconds{ 9 } });
  for (auto i = 0; i < 40; ++i) {
    board.Merge({ .engine_ = "e" + std::to_string(i),
                  .perSecond_ = 1.0,
                  .statedAt_ = clock.Now() },
                clock.Now());
  }
  std::set<std::string> told;
  for (auto i = 0; i < 100; ++i) {
    for (const auto& word : board.Tell(4)) {
      told.insert(word.engine_);
    }
  }
  CHECK(told.size() == 40);
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

TEST_CASE("questions for permits use up the news that goes to all hosts")
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
    CHECK(detector.WithoutNews().news_.empty());
  }
  CHECK_FALSE(detector.PushTo("10.0.0.2:1").front().message_.news_.empty());
}

TEST_CASE("limits and permits are not what they were after the way between "
          "hosts, or a limit that is no number comes through")
{
  VirtualClock clock;
  const auto now = clock.Now();
  const FleetHeartbeat beat{
    .limits_ = { ToReport(Word(1.5, now - seconds{ 3 }), now),
                 ToReport(Word(std::nullopt, now), now) },
    .permitAsks_ = { { .number_ = 7,
                       .limit_ = ToReport(Word(2.0, now), now),
                       .patience_ = milliseconds{ 30 } } },
    .permits_ = { { .number_ = 8,
                    .permit_ = { .granted_ = true,
                                 .wait_ = milliseconds{ 5 } } } }
  };
  CHECK(DecodeHeartbeat(EncodeHeartbeat(beat)).value() == beat);
  CHECK(FromReport(beat.limits_.front(), now) == Word(1.5, now - seconds{ 3 }));
  auto bad = beat;
  bad.limits_.front().perSecond_ = -1.0;
  CHECK_FALSE(DecodeHeartbeat(EncodeHeartbeat(bad)));
}

} // namespace testing

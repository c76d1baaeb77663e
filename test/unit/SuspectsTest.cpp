#include <doctest/doctest.h>
#include <goldcrestcroft/Engines.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kNow{ std::chrono::hours{ 1 } };
constexpr std::uint64_t kRequest = 7;

/** A run that takes the first half of second aNumber after kNow. */
auto Run(std::uint64_t aNumber, std::uint64_t aRequest = kRequest) -> LostRun
{
  const auto began = kNow + seconds{ aNumber };
  return { .request_ = aRequest,
           .run_ = aNumber,
           .began_ = began,
           .ended_ = began + milliseconds{ 500 } };
}
auto Lose(SuspectCounter& aCounter, std::uint64_t aNumber)
  -> std::optional<SuspectNotice>
{
  return aCounter.OnLost(Run(aNumber), Run(aNumber).ended_);
}
auto Notice(SuspectLevel aLevel, std::uint32_t aGeneration = 0,
            std::uint64_t aRequest = kRequest) -> SuspectNotice
{
  return { .request_ = aRequest,
           .generation_ = aGeneration,
           .level_ = aLevel,
           .left_ = minutes{ 10 } };
}

} // namespace

TEST_CASE("suspects: runs lost in one wave of crashes count once")
{
  CHECK(CountIndependentCrashes({}) == 0);
  CHECK(CountIndependentCrashes({ Run(1), Run(2), Run(3) }) == 3);
  auto longer = Run(1);
  longer.ended_ = Run(3).ended_;
  CHECK(CountIndependentCrashes({ longer, Run(2), Run(3) }) == 2);
  CHECK(CountIndependentCrashes({ longer, longer, longer }) == 1);
}

TEST_CASE("suspects: a request that crashes engines one by one is quarantined")
{
  SuspectCounter counter;
  CHECK_FALSE(Lose(counter, 1));
  const auto suspected = Lose(counter, 2);
  REQUIRE(suspected);
  CHECK(suspected->level_ == SuspectLevel::Suspected);
  CHECK_FALSE(Lose(counter, 3));
  const auto quarantined = Lose(counter, 4);
  REQUIRE(quarantined);
  CHECK(quarantined->level_ == SuspectLevel::Quarantined);
  CHECK(quarantined->left_ == minutes{ 10 });
  CHECK_FALSE(Lose(counter, 5));
}

TEST_CASE("suspects: a request with several copies in flight is quarantined "
          "after three independent crashes")
{
  SuspectCounter counter({ .quarantineRuns_ = 4 });
  auto copy = Run(1);
  copy.run_ = 100;
  counter.OnLost(copy, copy.ended_);
  Lose(counter, 1);
  Lose(counter, 2);
  const auto quarantined = Lose(counter, 3);
  REQUIRE(quarantined);
  CHECK(quarantined->level_ == SuspectLevel::Quarantined);
}

TEST_CASE("suspects: evidence outlives the hosts that counted it")
{
  SuspectCounter counter;
  counter.OnNotice({ .request_ = kRequest,
                     .level_ = SuspectLevel::Suspected,
                     .left_ = std::chrono::minutes{ 5 } },
                   kNow);
  for (std::uint64_t i = 1; i <= 2; ++i) {
    const auto began = kNow + std::chrono::seconds{ 4 * i };
    const auto ended = began + std::chrono::milliseconds{ 100 };
    const auto notice = counter.OnLost(
      { .request_ = kRequest, .run_ = i, .began_ = began, .ended_ = ended },
      ended);
    CHECK(notice.has_value() == (i == 2));
  }
}

TEST_CASE("suspects: a run reported again counts once")
{
  SuspectCounter counter;
  for (auto i = 0; i < 10; ++i) {
    CHECK_FALSE(Lose(counter, 1));
  }
  CHECK(counter.CountOf(kRequest) == 1);
}

TEST_CASE("suspects: a request is quarantined if no host reports a completed "
          "copy, but not before hosts had time to report one")
{
  SuspectCounter counter({ .clearingWindow_ = seconds{ 10 } });
  Lose(counter, 1);
  const auto suspectedAt = Run(2).ended_;
  CHECK(Lose(counter, 2));
  CHECK_FALSE(Lose(counter, 3));
  CHECK_FALSE(Lose(counter, 4));
  CHECK(counter.Due(suspectedAt + milliseconds{ 9999 }).empty());
  const auto due = counter.Due(suspectedAt + seconds{ 10 });
  REQUIRE(due.size() == 1);
  CHECK(due.front().level_ == SuspectLevel::Quarantined);
  CHECK(counter.Due(suspectedAt + seconds{ 11 }).empty());
}

TEST_CASE("suspects: runs that began before a clearing do not count against "
          "the request")
{
  SuspectCounter counter;
  for (const std::uint64_t run : { 1, 2, 3 }) {
    Lose(counter, run);
  }
  const auto clearedAt = Run(4).began_ + milliseconds{ 1 };
  counter.OnNotice(Notice(SuspectLevel::Cleared, 1), clearedAt);
  CHECK(counter.CountOf(kRequest) == 0);
  CHECK_FALSE(Lose(counter, 4));
  CHECK(counter.CountOf(kRequest) == 0);
  CHECK(counter.Due(clearedAt + seconds{ 5 }).empty());
  CHECK_FALSE(Lose(counter, 5));
  const auto again = Lose(counter, 6);
  REQUIRE(again);
  CHECK(again->generation_ == 1);
  CHECK(again->level_ == SuspectLevel::Suspected);
}

TEST_CASE("suspects: one more loss renews a quarantine that has expired")
{
  SuspectCounter counter;
  counter.OnNotice(Notice(SuspectLevel::Quarantined), kNow);
  const auto after = kNow + minutes{ 11 };
  counter.Expire(after);
  auto run = Run(1);
  run.began_ = after;
  run.ended_ = after + milliseconds{ 100 };
  const auto quarantined = counter.OnLost(run, run.ended_);
  REQUIRE(quarantined);
  CHECK(quarantined->level_ == SuspectLevel::Quarantined);
  counter.Expire(after + minutes{ 30 });
  CHECK(counter.Size() == 0);
}

TEST_CASE("suspects: a full counter takes new requests and evicts the weakest "
          "evidence first")
{
  SuspectCounter counter({ .capacity_ = 4 });
  Lose(counter, 1);
  Lose(counter, 2);
  for (std::uint64_t request = 100; request < 200; ++request) {
    counter.OnLost(Run(3, request), Run(3).ended_);
    CHECK(counter.CountOf(request) == 1);
  }
  CHECK(counter.Size() == 4);
  CHECK(counter.CountOf(kRequest) == 2);
}

TEST_CASE("suspects: of many runs of a request the strongest evidence is "
          "kept")
{
  SuspectCounter counter({ .quarantineThreshold_ = 100, .runsPerRequest_ = 4 });
  Lose(counter, 1);
  for (std::uint64_t copy = 100; copy < 150; ++copy) {
    auto run = Run(2);
    run.run_ = copy;
    counter.OnLost(run, run.ended_);
  }
  Lose(counter, 3);
  CHECK(counter.CountOf(kRequest) == 3);
}

TEST_CASE("suspects: a notice has no effect after the clearing that follows it")
{
  SuspectTable table;
  CHECK(table.Merge(Notice(SuspectLevel::Quarantined), kNow));
  CHECK_FALSE(table.Merge(Notice(SuspectLevel::Suspected), kNow));
  CHECK(table.LevelOf(kRequest, kNow) == SuspectLevel::Quarantined);
  const auto clearing = table.ClearingNotice(kRequest, kNow);
  REQUIRE(clearing);
  CHECK(clearing->generation_ == 1);
  CHECK(clearing->left_ > minutes{ 10 });
  CHECK(table.Merge(*clearing, kNow));
  CHECK_FALSE(table.Merge(Notice(SuspectLevel::Quarantined), kNow));
  CHECK(table.LevelOf(kRequest, kNow) == SuspectLevel::Cleared);
  CHECK_FALSE(table.ClearingNotice(kRequest, kNow));
}

TEST_CASE("suspects: hosts do not renew each other's notices")
{
  SuspectTable table;
  table.Merge(Notice(SuspectLevel::Quarantined), kNow);
  CHECK_FALSE(
    table.Merge(Notice(SuspectLevel::Quarantined), kNow + minutes{ 9 }));
  CHECK(table.LevelOf(kRequest, kNow + minutes{ 10 }) == SuspectLevel::Cleared);
  const auto sent = table.TakeNotices(8, kNow + minutes{ 9 });
  REQUIRE(sent.size() == 1);
  CHECK(sent.front().left_ == minutes{ 1 });
}

TEST_CASE("suspects: a notice with extreme numbers is rejected or expires")
{
  SuspectTable table;
  auto extreme = Notice(SuspectLevel::Quarantined);
  extreme.left_ = Duration::max();
  CHECK(table.Merge(extreme, kNow));
  CHECK(table.LevelOf(kRequest, kNow + std::chrono::hours{ 1 }) ==
        SuspectLevel::Cleared);
  CHECK_FALSE(table.Merge(Notice(SuspectLevel::Quarantined, UINT32_MAX), kNow));
  extreme.left_ = Duration::min();
  extreme.request_ = 8;
  CHECK_FALSE(table.Merge(extreme, kNow));
  SuspectCounter counter;
  counter.OnNotice(Notice(SuspectLevel::Quarantined, UINT32_MAX), kNow);
  CHECK(counter.Size() == 0);
}

TEST_CASE("suspects: all notices are sent in turn, and new ones first")
{
  SuspectTable table;
  for (std::uint64_t request = 0; request < 100; ++request) {
    table.Merge(Notice(SuspectLevel::Suspected, 0, request), kNow);
  }
  std::set<std::uint64_t> sent;
  for (auto i = 0; i < 13; ++i) {
    for (const auto& notice : table.TakeNotices(8, kNow)) {
      sent.insert(notice.request_);
    }
  }
  CHECK(sent.size() == 100);
  for (auto i = 0; i < 200; ++i) {
    CHECK(table.TakeNotices(8, kNow).size() == 8);
  }
  table.Merge(Notice(SuspectLevel::Quarantined, 0, 1000), kNow);
  CHECK(table.TakeNotices(8, kNow).front().request_ == 1000);
}

TEST_CASE("suspects: quarantined requests are sent also during a wave of new "
          "notices")
{
  SuspectTable table;
  table.Merge(Notice(SuspectLevel::Quarantined), kNow);
  for (std::uint64_t request = 100; request < 1100; ++request) {
    table.Merge(Notice(SuspectLevel::Suspected, 0, request), kNow);
  }
  for (auto i = 0; i < 20; ++i) {
    CHECK(table.TakeNotices(8, kNow).front().request_ == kRequest);
  }
}

TEST_CASE("suspects: a full table takes new notices and evicts quarantined "
          "requests last")
{
  SuspectTable table({ .capacity_ = 4 });
  table.Merge(Notice(SuspectLevel::Quarantined), kNow);
  for (std::uint64_t request = 100; request < 200; ++request) {
    CHECK(table.Merge(Notice(SuspectLevel::Suspected, 0, request), kNow));
  }
  CHECK(table.Size() == 4);
  CHECK(table.LevelOf(199, kNow) == SuspectLevel::Suspected);
  CHECK(table.LevelOf(kRequest, kNow) == SuspectLevel::Quarantined);
}

TEST_CASE("suspects: a completion on this host clears a request that is "
          "suspected later, but only once")
{
  SuspectTable table;
  CHECK_FALSE(table.OnCompleted(kRequest, kNow));
  const auto later = kNow + seconds{ 1 };
  CHECK_FALSE(table.ClearingIfCompleted(kRequest, later));
  table.Merge(Notice(SuspectLevel::Suspected), later);
  const auto clearing = table.ClearingIfCompleted(kRequest, later);
  REQUIRE(clearing);
  table.Merge(*clearing, later);
  table.Merge(Notice(SuspectLevel::Quarantined, 1), later + seconds{ 1 });
  CHECK_FALSE(table.ClearingIfCompleted(kRequest, later + seconds{ 1 }));
  CHECK(table.OnCompleted(kRequest, later + seconds{ 2 }));
}

TEST_CASE("suspects: levels have names")
{
  CHECK(ToString(SuspectLevel::Cleared) == "cleared");
  CHECK(ToString(SuspectLevel::Suspected) == "suspected");
  CHECK(ToString(SuspectLevel::Quarantined) == "held_back");
}

} // namespace testing

#include <doctest/doctest.h>
#include <goldcrestcroft/Engines.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kNow{ std::chrono::hours{ 1 } };
const auto kPart = PromptPartFingerprint("5c1e");
const auto kLast = PromptPartFingerprint("91bd");
const auto kOtherLast = PromptPartFingerprint("e440");

/** A run that was lost aAt after kNow and had taken two seconds. */
auto Lost(std::uint64_t aRun, Duration aAt, std::uint64_t aLastPart = 0,
          std::uint64_t aPart = kPart) -> LostRun
{
  return { .request_ = aPart,
           .run_ = aRun,
           .began_ = kNow + aAt - seconds{ 2 },
           .ended_ = kNow + aAt,
           .lastPart_ = aLastPart,
           .responding_ = true };
}
auto Lose(SuspectCounter& aCounter, const LostRun& aRun)
  -> std::optional<SuspectNotice>
{
  return aCounter.OnLost(aRun, aRun.ended_);
}
auto IsQuarantine(const std::optional<SuspectNotice>& aNotice) -> bool
{
  return aNotice && aNotice->level_ == SuspectLevel::Quarantined;
}

} // namespace

TEST_CASE("prompt part suspects: requests and parts never share a fingerprint")
{
  for (const auto* text : { "5c1e", "91bd", "e440", "" }) {
    CHECK(KindOf(RequestFingerprint(text)) == SuspectKind::Request);
    CHECK(KindOf(PromptPartFingerprint(text)) == SuspectKind::PromptPart);
  }
}

TEST_CASE("prompt part suspects: the last part and repeated ones are left out")
{
  CHECK(SharedPartFingerprints({}).empty());
  CHECK(SharedPartFingerprints({ { .id_ = "5c1e" } }).empty());
  CHECK(SharedPartFingerprints({ { .id_ = "5c1e" },
                                 { .id_ = "91bd" },
                                 { .id_ = "5c1e" },
                                 { .id_ = "e440" } }) ==
        std::vector{ kPart, kLast });
}

TEST_CASE("prompt part suspects: crashes one after the other count although "
          "the runs overlap")
{
  SuspectCounter counter;
  CHECK_FALSE(Lose(counter, Lost(1, milliseconds{ 0 })));
  CHECK(Lose(counter, Lost(2, milliseconds{ 600 })));
  CHECK_FALSE(Lose(counter, Lost(3, milliseconds{ 1200 })));
  const auto due = counter.Due(kNow + milliseconds{ 1600 });
  REQUIRE(due.size() == 1);
  CHECK(due.front().level_ == SuspectLevel::Quarantined);
  CHECK(due.front().evidenceAge_ == milliseconds{ 1600 });
}

TEST_CASE("prompt part suspects: one crash more is needed if engines had not "
          "begun to respond")
{
  SuspectCounter counter;
  for (std::uint64_t i = 1; i <= 4; ++i) {
    auto run = Lost(i, seconds{ i });
    run.responding_ = i == 1;
    CHECK(IsQuarantine(Lose(counter, run)) == (i == 4));
  }
}

TEST_CASE("prompt part suspects: engines that crash together count once")
{
  SuspectCounter counter;
  for (std::uint64_t run = 0; run < 100; ++run) {
    const auto skew = milliseconds{ static_cast<int>(run % 20) * 10 };
    CHECK_FALSE(Lose(counter, Lost(run, skew)));
  }
  CHECK(counter.CountOf(kPart) == 1);
  CHECK(counter.Due(kNow + minutes{ 1 }).empty());
}

TEST_CASE("prompt part suspects: of parts that are always lost together only "
          "the last is quarantined")
{
  SuspectCounter counter;
  for (std::uint64_t run = 1; run <= 3; ++run) {
    Lose(counter, Lost(run, seconds{ run }, kLast));
    const auto last = Lose(counter, Lost(run, seconds{ run }, 0, kLast));
    CHECK(IsQuarantine(last) == (run == 3));
  }
  const auto due = counter.Due(kNow + minutes{ 1 });
  REQUIRE(due.size() == 1);
  CHECK(due.front().request_ == kPart);
  CHECK(due.front().level_ == SuspectLevel::Cleared);
  CHECK(due.front().generation_ == 1);
  counter.OnNotice(due.front(), kNow + minutes{ 1 });
  CHECK(counter.CountOf(kPart) == 0);
  // It can still turn out to be the cause, with any last part.
  for (std::uint64_t run = 4; run <= 6; ++run) {
    const auto notice =
      Lose(counter, Lost(run, seconds{ 70 + run }, run == 4 ? kOtherLast : 0));
    CHECK(IsQuarantine(notice) == (run == 6));
  }
}

TEST_CASE(
  "prompt part suspects: a part that is lost with a different last part "
  "each time is quarantined at once")
{
  SuspectCounter counter;
  Lose(counter, Lost(1, seconds{ 1 }, kLast));
  Lose(counter, Lost(2, seconds{ 2 }, kOtherLast));
  CHECK(IsQuarantine(Lose(counter, Lost(3, seconds{ 3 }))));
}

TEST_CASE("prompt part suspects: a part waits for the verdict on the last part "
          "and is quarantined if there is none")
{
  SuspectCounter counter;
  for (std::uint64_t run = 1; run <= 3; ++run) {
    CHECK_FALSE(IsQuarantine(Lose(counter, Lost(run, seconds{ run }, kLast))));
  }
  CHECK(counter.Due(kNow + milliseconds{ 4900 }).empty());
  CHECK(counter.Due(kNow + milliseconds{ 5000 }).size() == 1);
}

TEST_CASE("prompt part suspects: a part that was sound before the first crash "
          "is not cleared by that")
{
  SuspectTable table;
  table.OnCompleted(kPart, kNow);
  const auto later = kNow + seconds{ 3 };
  const SuspectNotice suspected{ .request_ = kPart,
                                 .level_ = SuspectLevel::Suspected,
                                 .count_ = 2,
                                 .left_ = minutes{ 10 },
                                 .evidenceAge_ = seconds{ 2 } };
  table.Merge(suspected, later);
  CHECK_FALSE(table.ClearingIfCompleted(kPart, later));
  SUBCASE("but by a run after it, even before the suspicion")
  {
    SuspectTable other;
    other.OnCompleted(kPart, kNow + seconds{ 2 });
    other.Merge(suspected, later);
    CHECK(other.ClearingIfCompleted(kPart, later));
  }
  SUBCASE("and hosts that learn of it from others agree")
  {
    const auto passedOn = table.TakeNotices(1, later + seconds{ 5 });
    REQUIRE(passedOn.size() == 1);
    CHECK(passedOn.front().evidenceAge_ == seconds{ 7 });
  }
}

TEST_CASE("prompt part suspects: a quarantined part that runs all the same is "
          "cleared")
{
  SuspectTable table;
  table.Merge({ .request_ = kPart,
                .level_ = SuspectLevel::Quarantined,
                .left_ = minutes{ 10 },
                .evidenceAge_ = seconds{ 2 } },
              kNow);
  const auto clearing = table.OnCompleted(kPart, kNow + milliseconds{ 1 });
  REQUIRE(clearing);
  CHECK(clearing->level_ == SuspectLevel::Cleared);
}

} // namespace testing

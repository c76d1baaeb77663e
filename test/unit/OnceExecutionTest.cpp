#include <doctest/doctest.h>
#include <goldcrestcroft/Once.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using Step = OnceExecution::Step;

auto Make(TimePoint aDeadline, bool aFirst = true) -> OnceExecution
{
  return OnceExecution({ .key_ = { "k" },
                         .attempt_ = { "mine" },
                         .host_ = { "h" },
                         .incarnation_ = 1,
                         .deadline_ = aDeadline,
                         .firstSubmission_ = aFirst });
}

const OnceRow kOther{ .attempt_ = { "other" }, .runner_ = { "g" } };

} // namespace

TEST_CASE("once: a run without faults")
{
  VirtualClock clock;
  auto once = Make(clock.Now() + std::chrono::seconds{ 1 });
  CHECK(once.Next() == Step::Insert);
  once.OnInserted(5, clock.Now());
  CHECK(once.Next() == Step::Run);
  CHECK(once.TryDispatch(clock.Now()));
  once.OnFinished({ .outcome_ = Outcome::Completed, .body_ = "b" });
  CHECK(once.Next() == Step::Done);
  CHECK(once.NeedsRecord());
  CHECK(once.OwnVersion() == 5);
  CHECK(once.Row().answer_->body_ == "b");
}

TEST_CASE("once: a run that never reached a server releases its key")
{
  VirtualClock clock;
  auto once = Make(clock.Now() + std::chrono::seconds{ 1 });
  once.OnInserted(5, clock.Now());
  CHECK(once.TryDispatch(clock.Now()));
  once.OnFinished({ .outcome_ = Outcome::NotRun });
  CHECK(once.Next() == Step::ReleaseKey);
  CHECK_FALSE(once.NeedsRecord());
  once.OnKeyReleased();
  CHECK(once.Answer().outcome_ == Outcome::NotRun);
  CHECK_FALSE(once.MayLeaveRow());
}

TEST_CASE(
  "once: after an erasure whose reply was lost, a refusal proves nothing")
{
  VirtualClock clock;
  auto once = Make(clock.Now() + std::chrono::seconds{ 1 });
  once.OnInserted(5, clock.Now());
  once.OnRefused();
  CHECK(once.Next() == Step::ReleaseKey);
  once.OnLost(clock.Now()); // it took effect, and another submission ran
  CHECK(once.Next() == Step::ReleaseKey);
  once.OnUnavailable(clock.Now());
  CHECK(once.Next() == Step::ReleaseKey);
  clock.Advance(std::chrono::seconds{ 2 });
  once.OnUnavailable(clock.Now());
  CHECK(once.Next() == Step::Done);
  CHECK(once.Answer().outcome_ == Outcome::Unknown);
}

TEST_CASE(
  "once: a refused insert is not_run only for an asserted first submission")
{
  VirtualClock clock;
  for (const auto first : { true, false }) {
    auto once = Make(clock.Now() + std::chrono::seconds{ 1 }, first);
    once.OnUnavailable(clock.Now());
    CHECK(once.Next() == Step::Done);
    CHECK(once.Answer().outcome_ ==
          (first ? Outcome::NotRun : Outcome::Unknown));
  }
}

TEST_CASE(
  "once: a lost insert is read back, and cleaned up if it stays unresolved")
{
  VirtualClock clock;
  auto once = Make(clock.Now() + std::chrono::seconds{ 1 });
  once.OnLost(clock.Now());
  CHECK(once.Next() == Step::Read);
  once.OnAbsent(clock.Now());
  CHECK(once.Next() == Step::Insert);
  once.OnLost(clock.Now());
  clock.Advance(std::chrono::seconds{ 2 });
  once.OnTick(clock.Now());
  CHECK(once.Answer().outcome_ == Outcome::Unknown);
  CHECK(once.MayLeaveRow());
}

TEST_CASE("once: a duplicate waits for the runner, or ends unknown with it")
{
  VirtualClock clock;
  auto once = Make(clock.Now() + std::chrono::seconds{ 1 });
  once.OnRow(kOther, 3, false, clock.Now());
  CHECK(once.Next() == Step::Wait);
  once.OnPollDue();
  CHECK(once.Next() == Step::Read);
  auto answered = kOther;
  answered.answer_ = { .outcome_ = Outcome::Completed, .body_ = "theirs" };
  auto other = once;
  once.OnRow(answered, 4, false, clock.Now());
  CHECK(once.Answer().body_ == "theirs");
  CHECK_FALSE(once.NeedsRecord());
  other.OnRow(kOther, 3, true, clock.Now());
  CHECK(other.Answer().outcome_ == Outcome::Unknown);
}

TEST_CASE("once: nothing is sent after the deadline, and the key is freed")
{
  VirtualClock clock;
  auto once = Make(clock.Now() + std::chrono::seconds{ 1 });
  once.OnInserted(5, clock.Now());
  clock.Advance(std::chrono::seconds{ 2 }); // paused past the deadline
  CHECK_FALSE(once.TryDispatch(clock.Now()));
  CHECK(once.Next() == Step::ReleaseKey);
  once.OnKeyReleased();
  CHECK(once.Answer().outcome_ == Outcome::NotRun);
}

} // namespace testing

#include <doctest/doctest.h>
#include <goldcrestcroft/Engines.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

/** The run of that number: half of the second that has its number. */
auto Run(std::uint64_t aNumber) -> LostRun
{
  const auto began =
    TimePoint(std::chrono::hours{ 1 }) + std::chrono::seconds{ aNumber };
  return { .request_ = 7,
           .run_ = aNumber,
           .began_ = began,
           .ended_ = began + std::chrono::milliseconds{ 500 } };
}
auto Lose(SuspectCounter& aCounter, std::uint64_t aNumber)
  -> std::optional<SuspectNotice>
{
  return aCounter.OnLost(Run(aNumber), Run(aNumber).ended_);
}

} // namespace

TEST_CASE("suspects: a count beyond the suspicion is lost with the hosts that "
          "counted it")
{
  SuspectCounter gone;
  std::vector<SuspectNotice> told;
  for (std::uint64_t i = 1; i <= 3; ++i) {
    if (const auto notice = Lose(gone, i)) {
      told.push_back(*notice);
    }
    for (const auto& notice : gone.Recounted(Run(i).ended_)) {
      told.push_back(notice);
    }
  }
  SuspectCounter counter;
  SuspectBoard board;
  for (const auto& notice : told) {
    CHECK(notice.level_ == SuspectLevel::Suspected);
    CHECK(board.Merge(notice, Run(4).began_));
    counter.OnNotice(notice, Run(4).began_);
  }
  // As other hosts tell it on.
  CHECK(board.Tell(1, Run(4).began_).front() == told.back());
  const auto held = Lose(counter, 5);
  REQUIRE(held);
  CHECK(held->level_ == SuspectLevel::HeldBack);
}

} // namespace testing

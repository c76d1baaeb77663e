#include <doctest/doctest.h>
#include <goldcrestcroft/Engines.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

/** A run that takes the first half of second aNumber after a fixed time. */
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

TEST_CASE("suspects: a count beyond the suspicion threshold outlives the hosts "
          "that counted it")
{
  SuspectCounter previousOwner;
  std::vector<SuspectNotice> received;
  for (std::uint64_t i = 1; i <= 3; ++i) {
    if (const auto notice = Lose(previousOwner, i)) {
      received.push_back(*notice);
    }
    for (const auto& notice :
         previousOwner.TakeIncreasedCounts(Run(i).ended_)) {
      received.push_back(notice);
    }
  }
  SuspectCounter counter;
  SuspectTable table;
  for (const auto& notice : received) {
    CHECK(notice.level_ == SuspectLevel::Suspected);
    CHECK(table.Merge(notice, Run(4).began_));
    counter.OnNotice(notice, Run(4).began_);
  }
  // This is what other hosts pass on.
  CHECK(table.TakeNotices(1, Run(4).began_).front() == received.back());
  const auto quarantined = Lose(counter, 5);
  REQUIRE(quarantined);
  CHECK(quarantined->level_ == SuspectLevel::Quarantined);
}

} // namespace testing

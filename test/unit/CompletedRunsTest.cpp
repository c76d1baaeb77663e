#include <goldcrestcroft/Engines.h>

#include <doctest/doctest.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kNow{ std::chrono::hours{ 1 } };

} // namespace

TEST_CASE("suspects: completed runs are bounded and the latest are kept")
{
  CompletedRuns runs({ .capacity_ = 2 });
  runs.Add(1, kNow);
  runs.Add(2, kNow);
  runs.Add(1, kNow + seconds{ 1 });
  runs.Add(3, kNow + seconds{ 1 });
  CHECK(runs.Size() == 2);
  CHECK(runs.HasCompletedSince(1, kNow, kNow + seconds{ 2 }));
  CHECK_FALSE(runs.HasCompletedSince(2, TimePoint{}, kNow + seconds{ 2 }));
  CHECK_FALSE(runs.HasCompletedSince(1, kNow, kNow + minutes{ 3 }));
}

} // namespace testing

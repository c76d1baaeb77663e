#include "Property.h"

#include <goldcrestcroft/Engines.h>

#include <algorithm>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

const TimePoint kNow{ std::chrono::hours{ 1 } };
constexpr std::uint64_t kRequests = 3;

auto NoticeOf(std::uint16_t aChoice) -> SuspectNotice
{
  return { .request_ = aChoice % kRequests,
           .generation_ = aChoice / 7U % 4U,
           .level_ = static_cast<SuspectLevel>(aChoice / 31 % 3),
           .left_ = std::chrono::minutes{ 10 } };
}

/** Generated notices, and the clearings by hosts on which copies complete, in
 * the order in which one host learned of them. */
auto NoticesOf(const std::vector<std::uint16_t>& aSchedule)
  -> std::vector<SuspectNotice>
{
  std::vector<SuspectNotice> notices;
  SuspectTable table;
  for (const auto choice : aSchedule) {
    const auto notice = NoticeOf(choice);
    const auto clearing =
      choice % 5 == 0 ? table.OnCompleted(notice.request_, kNow) : std::nullopt;
    notices.push_back(clearing.value_or(notice));
    table.Merge(notices.back(), kNow);
  }
  return notices;
}

/** Counts independent crashes by trying all subsets. */
auto CountExhaustively(const std::vector<LostRun>& aRuns) -> std::size_t
{
  std::size_t largest = 0;
  for (std::uint32_t subset = 0; subset < (1U << aRuns.size()); ++subset) {
    std::vector<LostRun> chosen;
    for (std::size_t i = 0; i < aRuns.size(); ++i) {
      if ((subset >> i & 1U) != 0) {
        chosen.push_back(aRuns[i]);
      }
    }
    std::sort(chosen.begin(), chosen.end(),
              [](const LostRun& aLeft, const LostRun& aRight) {
                return std::tie(aLeft.began_, aLeft.ended_) <
                       std::tie(aRight.began_, aRight.ended_);
              });
    const auto overlap =
      std::adjacent_find(chosen.begin(), chosen.end(),
                         [](const LostRun& aLeft, const LostRun& aRight) {
                           return aRight.began_ <= aLeft.ended_;
                         });
    largest =
      overlap == chosen.end() ? std::max(largest, chosen.size()) : largest;
  }
  return largest;
}

} // namespace

TEST_CASE("suspect table: the order of notices and completions does not change "
          "the levels")
{
  CheckProperty([] {
    const auto notices = NoticesOf(*Schedule(20));
    auto shuffled = notices;
    std::shuffle(shuffled.begin(), shuffled.end(),
                 std::mt19937(*rc::gen::arbitrary<unsigned>()));
    SuspectTable first;
    SuspectTable second;
    for (std::size_t i = 0; i < notices.size(); ++i) {
      first.Merge(notices[i], kNow);
      second.Merge(shuffled[i], kNow);
    }
    for (std::uint64_t request = 0; request < kRequests; ++request) {
      RC_ASSERT(first.LevelOf(request, kNow) == second.LevelOf(request, kNow));
    }
  });
}

TEST_CASE("suspect table: hosts converge by gossip alone")
{
  CheckProperty([] {
    constexpr std::size_t kHosts = 4;
    std::vector<SuspectTable> hosts(kHosts);
    const auto notices = NoticesOf(*Schedule(20));
    for (std::size_t i = 0; i < notices.size(); ++i) {
      hosts[i % kHosts].Merge(notices[i], kNow);
    }
    // Each host sends to the next. So many rounds pass every notice to all.
    for (std::size_t i = 0; i < kHosts * kHosts; ++i) {
      for (const auto& notice : hosts[i % kHosts].TakeNotices(8, kNow)) {
        hosts[(i + 1) % kHosts].Merge(notice, kNow);
      }
    }
    for (std::uint64_t request = 0; request < kRequests; ++request) {
      for (const auto& host : hosts) {
        RC_ASSERT(host.LevelOf(request, kNow) ==
                  hosts.front().LevelOf(request, kNow));
      }
    }
  });
}

TEST_CASE("suspect counter: independent crashes are the maximum number of runs "
          "that do not overlap")
{
  CheckProperty([] {
    std::vector<LostRun> runs;
    for (const auto choice : *Schedule(8)) {
      const auto began = kNow + milliseconds{ choice % 20 };
      runs.push_back({ .run_ = runs.size(),
                       .began_ = began,
                       .ended_ = began + milliseconds{ choice / 20 % 9 } });
    }
    RC_ASSERT(CountIndependentCrashes(runs) == CountExhaustively(runs));
  });
}

} // namespace testing

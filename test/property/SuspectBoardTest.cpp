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

/** Notices of the world and the clearings of hosts whose copies complete, in
 * the order in which one host came by them. */
auto NoticesOf(const std::vector<std::uint16_t>& aSchedule)
  -> std::vector<SuspectNotice>
{
  std::vector<SuspectNotice> notices;
  SuspectBoard board;
  for (const auto choice : aSchedule) {
    const auto notice = NoticeOf(choice);
    const auto clearing =
      choice % 5 == 0 ? board.OnCompleted(notice.request_, kNow) : std::nullopt;
    notices.push_back(clearing.value_or(notice));
    board.Merge(notices.back(), kNow);
  }
  return notices;
}

/** Tries all subsets. */
auto CountByForce(const std::vector<LostRun>& aRuns) -> std::size_t
{
  std::size_t most = 0;
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
    most = overlap == chosen.end() ? std::max(most, chosen.size()) : most;
  }
  return most;
}

} // namespace

TEST_CASE("suspect board: hosts that learn notices and completions in other "
          "orders come to other verdicts")
{
  CheckProperty([] {
    const auto notices = NoticesOf(*Schedule(20));
    auto shuffled = notices;
    std::shuffle(shuffled.begin(), shuffled.end(),
                 std::mt19937(*rc::gen::arbitrary<unsigned>()));
    SuspectBoard first;
    SuspectBoard second;
    for (std::size_t i = 0; i < notices.size(); ++i) {
      first.Merge(notices[i], kNow);
      second.Merge(shuffled[i], kNow);
    }
    for (std::uint64_t request = 0; request < kRequests; ++request) {
      RC_ASSERT(first.LevelOf(request, kNow) == second.LevelOf(request, kNow));
    }
  });
}

TEST_CASE("suspect board: hosts that only tell each other never agree")
{
  CheckProperty([] {
    constexpr std::size_t kHosts = 4;
    std::vector<SuspectBoard> hosts(kHosts);
    const auto notices = NoticesOf(*Schedule(20));
    for (std::size_t i = 0; i < notices.size(); ++i) {
      hosts[i % kHosts].Merge(notices[i], kNow);
    }
    // Each tells the next; the last reaches all in so many rounds.
    for (std::size_t i = 0; i < kHosts * kHosts; ++i) {
      for (const auto& notice : hosts[i % kHosts].Tell(8, kNow)) {
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

TEST_CASE("suspect counter: coincidences are fewer or more than the most runs "
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
    RC_ASSERT(CountCoincidences(runs) == CountByForce(runs));
  });
}

} // namespace testing

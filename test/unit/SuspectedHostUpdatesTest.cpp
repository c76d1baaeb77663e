#include <doctest/doctest.h>
#include <goldcrestcroft/Membership.h>

#include <algorithm>

namespace testing {

namespace {

using namespace goldcrestcroft;

auto RecordOf(std::size_t aHost) -> PeerRecord
{
  const auto number = std::to_string(aHost);
  return { .host_ = { "h" + number },
           .incarnation_ = 1,
           .peerAddress_ = "10.0.0." + number + ":1" };
}

/** A host that knows aLive live and aSuspected suspected ones. */
auto MakeDetector(std::size_t aLive, std::size_t aSuspected) -> FailureDetector
{
  FailureDetector detector({ .self_ = RecordOf(0) }, 1, {});
  std::vector<PeerUpdate> known;
  for (std::size_t i = 1; i <= aLive + aSuspected; ++i) {
    known.push_back(
      { .record_ = RecordOf(i),
        .state_ = i <= aLive ? PeerState::Live : PeerState::Suspected });
  }
  detector.Learn(known, {});
  return detector;
}

} // namespace

TEST_CASE("a host that others suspect is not left out when a change is pushed, "
          "and is told of the suspicion")
{
  auto detector = MakeDetector(8, 1);
  const auto suspected = RecordOf(9);
  const auto pushed = detector.Push();
  const auto found =
    std::find_if(pushed.begin(), pushed.end(), [&](const auto& aOutgoing) {
      return aOutgoing.address_ == suspected.peerAddress_;
    });
  REQUIRE(found != pushed.end());
  REQUIRE(found->message_.updates_.size() == 1);
  CHECK(found->message_.updates_.front() ==
        PeerUpdate{ .record_ = suspected, .state_ = PeerState::Suspected });
}

TEST_CASE("many suspected hosts neither take the pushes of the live ones nor "
          "increase what a host sends")
{
  const FailureDetector::Options options;
  auto detector = MakeDetector(320, 320);
  const auto pushed = detector.Push();
  CHECK(pushed.size() == options.fanOut_ + options.suspectedFanOut_);
  std::size_t live = 0;
  for (std::size_t i = 1; i <= 320; ++i) {
    live += static_cast<std::size_t>(
      std::count_if(pushed.begin(), pushed.end(), [&](const auto& aOutgoing) {
        return aOutgoing.address_ == RecordOf(i).peerAddress_;
      }));
  }
  CHECK(live == options.fanOut_);
}

} // namespace testing

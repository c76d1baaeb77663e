#include "CutOffFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

using namespace std::chrono_literals;

/** Time in which a host may find out that it reaches no engine. */
constexpr auto kDetectionTime = 2s;
constexpr auto kCalls = 40;

/** How many of the calls are served; the calls go to the host one by one. */
auto CountServed(EntryFleet& aFleet, std::size_t aHost, const CallerCall& aCall)
  -> int
{
  auto served = 0;
  for (auto i = 0; i < kCalls; ++i) {
    const auto response = aFleet.Call(aHost, aCall);
    served += response.status_ == 200 && response.whole_ ? 1 : 0;
  }
  return served;
}

/** Makes the host notice that it reaches no engine. */
auto FindOut(EntryFleet& aFleet, std::size_t aHost) -> void
{
  const auto until = std::chrono::steady_clock::now() + kDetectionTime;
  while (std::chrono::steady_clock::now() < until) {
    aFleet.Get(aHost, "/safe/x");
    std::this_thread::sleep_for(20ms);
  }
}

} // namespace

TEST_CASE("a host without links to engines does not refuse what others serve")
{
  for (const auto kind : { CutKind::Refuse, CutKind::Hang }) {
    CAPTURE(static_cast<int>(kind));
    CutOffFleet cuttable(2, 1, kind);
    auto& fleet = cuttable.Fleet();
    REQUIRE(cuttable.AwaitServing(2));
    cuttable.Cut();
    FindOut(fleet, 0);
    // Two thirds of what the other host serves.
    constexpr auto kMinServed = kCalls * 2 / 3;
    CHECK(CountServed(fleet, 1, { .target_ = "/safe/x" }) == kCalls);
    CHECK(CountServed(fleet, 0, { .target_ = "/safe/x" }) >= kMinServed);
    const CallerCall unsafe{ .method_ = "POST",
                             .target_ = "/unsafe/x",
                             .body_ = "x" };
    CHECK(CountServed(fleet, 0, unsafe) >= kMinServed);
    cuttable.Restore();
    CHECK(EntryFleet::Await(
      [&] { return fleet.Get(0, "/safe/x").status_ == 200; }));
  }
}

TEST_CASE("the directory does not list a host without links to engines")
{
  CutOffFleet cuttable(2, 1, CutKind::Refuse);
  auto& fleet = cuttable.Fleet();
  REQUIRE(cuttable.AwaitServing(2));
  cuttable.Cut();
  FindOut(fleet, 0);
  const auto isListed = [&] {
    const auto listed = fleet.Directory(1).body_;
    return listed.find('"' + fleet.CallerAddress(0) + '"') != std::string::npos;
  };
  CHECK(EntryFleet::Await([&] { return !isListed(); }));
  cuttable.Restore();
  CHECK(EntryFleet::Await(isListed));
}

} // namespace testing

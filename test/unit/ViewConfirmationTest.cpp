#include <doctest/doctest.h>
#include <goldcrestcroft/Membership.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kTarget = seconds{ 3 };
constexpr auto kStoreDelay = seconds{ 6 };
constexpr Duration kBound = kTarget + kStoreDelay;

auto MakeConfirmation(TimePoint aNow) -> ViewConfirmation
{
  return ViewConfirmation(
    { .propagationTarget_ = kTarget, .storeDelay_ = kStoreDelay }, aNow);
}

} // namespace

TEST_CASE("view confirmation: an outage of the store alone makes no host "
          "unready while it hears peers")
{
  VirtualClock clock;
  auto view = MakeConfirmation(clock.Now());
  view.OnStore(clock.Now());
  for (auto i = 0; i < 600; ++i) {
    clock.Advance(milliseconds{ 500 });
    view.OnPeer(2, 2, clock.Now());
    CHECK(view.IsRecent(clock.Now()));
  }
}

TEST_CASE("view confirmation: a host without peers and store does not stay "
          "ready, but does for the bound")
{
  VirtualClock clock;
  auto view = MakeConfirmation(clock.Now());
  clock.Advance(seconds{ 1 });
  view.OnStore(clock.Now());
  clock.Advance(kBound - milliseconds{ 1 });
  CHECK(view.IsRecent(clock.Now()));
  clock.Advance(milliseconds{ 1 });
  CHECK_FALSE(view.IsRecent(clock.Now()));
  view.OnStore(clock.Now());
  CHECK(view.IsRecent(clock.Now()));
}

TEST_CASE("view confirmation: a host that cannot get a later configuration of "
          "its peers does not stay ready, whatever lagging peers report")
{
  VirtualClock clock;
  auto view = MakeConfirmation(clock.Now());
  view.OnPeer(6, 2, clock.Now());
  for (auto i = 0; i < 18; ++i) {
    clock.Advance(kBound / 18);
    view.OnPeer(2, 2, clock.Now());
  }
  CHECK_FALSE(view.IsRecent(clock.Now()));
  CHECK(view.Latest() == 6);
  view.OnPeer(6, 6, clock.Now());
  CHECK(view.IsRecent(clock.Now()));
}

TEST_CASE("view confirmation: a configuration that cannot be read does not "
          "make the hosts unready that keep the last one")
{
  VirtualClock clock;
  auto view = MakeConfirmation(clock.Now());
  view.OnPeer(7, 6, clock.Now());
  view.OnUnreadable();
  clock.Advance(kBound);
  view.OnPeer(7, 6, clock.Now());
  CHECK(view.IsRecent(clock.Now()));
  view.OnPeer(8, 6, clock.Now());
  clock.Advance(kBound);
  view.OnPeer(8, 6, clock.Now());
  CHECK_FALSE(view.IsRecent(clock.Now()));
}

TEST_CASE("view confirmation: a peer without a configuration confirms nothing")
{
  VirtualClock clock;
  auto view = MakeConfirmation(clock.Now());
  clock.Advance(kBound);
  view.OnPeer(0, 2, clock.Now());
  CHECK_FALSE(view.IsRecent(clock.Now()));
}

} // namespace testing

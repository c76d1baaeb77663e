#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/ConfigurationView.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

auto Row(std::uint64_t aEra, std::uint64_t aNumber) -> StoreRow
{
  return { .key_ = "config", .version_ = { .era_ = aEra, .number_ = aNumber } };
}

} // namespace

TEST_CASE("a restored store does not undo the configuration in force, and is "
          "followed from its versions on")
{
  ConfigurationView view;
  REQUIRE(view.Adopt(Row(1, 60), 9));
  CHECK(view.MayBeNew(Row(2, 40)));
  CHECK_FALSE(view.Adopt(Row(2, 40), 7));
  CHECK(view.Version() == 9);
  CHECK(view.Row().version_ == StoreVersion{ .era_ = 2, .number_ = 40 });
  CHECK(view.MayBeNew(Row(2, 41)));
  CHECK(view.Adopt(Row(2, 41), 10));
}

TEST_CASE("a row of an earlier era does not lower the version of the view")
{
  ConfigurationView view;
  view.Adopt(Row(2, 40), 7);
  CHECK_FALSE(view.MayBeNew(Row(1, 60)));
  // A peer may still have a later configuration from that era.
  CHECK(view.Adopt(Row(1, 60), 9));
  CHECK(view.Row().version_ == StoreVersion{ .era_ = 2, .number_ = 40 });
}

TEST_CASE("a host that started from the restored copy is behind its peers")
{
  ConfigurationView view;
  view.Adopt(Row(2, 40), 7);
  ConfigurationView peer;
  peer.Adopt(Row(1, 60), 9);
  CHECK(view.OnPeer(peer.Row().version_, peer.Version()));
  CHECK(peer.IsNewerThan(view.Row().version_, view.Version()));
  CHECK_FALSE(peer.OnPeer(view.Row().version_, view.Version()));
  CHECK(peer.Row().version_ == view.Row().version_);
}

TEST_CASE("a host without a configuration does not count the row of a peer as "
          "known")
{
  ConfigurationView view;
  CHECK_FALSE(view.OnPeer({ .era_ = 1, .number_ = 5 }, 0));
  CHECK(view.Row().version_ == StoreVersion{});
  CHECK(view.OnPeer({ .era_ = 1, .number_ = 5 }, 1));
}

TEST_CASE("a peer that does not report its configuration is compared by row")
{
  ConfigurationView view;
  view.Adopt(Row(0, 40), 7);
  CHECK(view.OnPeer({ .number_ = 41 }, ConfigurationView::kUnreported));
  CHECK_FALSE(view.OnPeer({ .number_ = 40 }, ConfigurationView::kUnreported));
  CHECK(view.IsNewerThan({ .number_ = 39 }, ConfigurationView::kUnreported));
}

} // namespace testing

#include <doctest/doctest.h>
#include <goldcrestcroft/Routing.h>
#include <platform/TableCodec.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using Zones = std::set<std::string>;

constexpr TimePoint kNow{ std::chrono::hours{ 1 } };

auto Version(std::uint64_t aEra, std::uint64_t aNumber) -> StoreVersion
{
  return { .era_ = aEra, .number_ = aNumber };
}

auto Row(std::string aZone, const StoreVersion& aVersion, bool aRemoved = false)
  -> StoreRow
{
  return { .key_ = std::move(aZone),
           .value_ = "{}",
           .version_ = aVersion,
           .removed_ = aRemoved };
}

/** \brief Lets aTo learn from aFrom, as with a heartbeat and a fetch. */
auto Gossip(const EvacuationView& aFrom, EvacuationView& aTo,
            TimePoint aNow = kNow) -> bool
{
  return aTo.IsBehind(aFrom.Version()) &&
         aTo.ApplyPeer(aFrom.Evacuations(), aFrom.Version(), aNow);
}

} // namespace

TEST_CASE("rows evacuate zones, each until it is removed")
{
  EvacuationView view;
  CHECK(view.Apply({ Row("a", Version(1, 4)) }));
  CHECK(view.Apply({ Row("b", Version(1, 5)) }));
  CHECK(view.Zones() == Zones{ "a", "b" });
  CHECK(view.Apply({ Row("a", Version(1, 6), true) }));
  CHECK(view.Zones() == Zones{ "b" });
}

TEST_CASE("a row that arrives again after its removal does not evacuate the "
          "zone again")
{
  EvacuationView view;
  view.Apply({ Row("a", Version(1, 4)) });
  view.Apply({ Row("a", Version(1, 6), true) });
  CHECK_FALSE(view.Apply({ Row("a", Version(1, 4)) }));
  CHECK(view.Zones().empty());
}

TEST_CASE("peers learn evacuations and removals from each other")
{
  EvacuationView reader;
  EvacuationView peer;
  reader.Apply({ Row("a", Version(1, 4)) });
  CHECK(Gossip(reader, peer));
  CHECK(peer.Zones() == Zones{ "a" });
  CHECK_FALSE(Gossip(reader, peer));
  reader.Apply({ Row("a", Version(1, 9), true) });
  CHECK(Gossip(reader, peer));
  CHECK(peer.Zones().empty());
}

TEST_CASE("a host that starts after an evacuation ended does not take it over "
          "from a peer that was cut off, and corrects that peer")
{
  EvacuationView stale;
  stale.Apply({ Row("a", Version(1, 4)) });
  EvacuationView started;
  started.ApplyTable({}, Version(1, 60), kNow);
  CHECK_FALSE(Gossip(stale, started));
  CHECK(started.Zones().empty());
  CHECK(Gossip(started, stale));
  CHECK(stale.Zones().empty());
}

TEST_CASE(
  "rows of one transaction, which share a version, and rows in any order "
  "all apply")
{
  EvacuationView view;
  view.Apply({ Row("c", Version(1, 6), true), Row("a", Version(1, 5)),
               Row("b", Version(1, 5)), Row("c", Version(1, 4)) });
  CHECK(view.Zones() == Zones{ "a", "b" });
}

TEST_CASE("a host that starts after an evacuation ended causes no fetch of the "
          "hosts that know")
{
  EvacuationView fleet;
  fleet.Apply({ Row("a", Version(1, 4)) });
  fleet.Apply({ Row("a", Version(1, 9), true) });
  EvacuationView started;
  started.ApplyTable({}, Version(1, 60), kNow);
  CHECK_FALSE(Gossip(fleet, started));
  CHECK(started.Version() == fleet.Version());
  CHECK_FALSE(fleet.IsBehind(started.Version()));
}

TEST_CASE("hosts that read a table without evacuations cause no fetches")
{
  EvacuationView first;
  EvacuationView second;
  first.ApplyTable({}, Version(1, 60), kNow);
  second.ApplyTable({}, Version(1, 70), kNow);
  CHECK_FALSE(first.IsBehind(second.Version()));
  CHECK_FALSE(second.IsBehind(first.Version()));
}

TEST_CASE("a complete table removes the evacuations that it lacks")
{
  EvacuationView view;
  view.Apply({ Row("a", Version(1, 4)) });
  view.Apply({ Row("b", Version(1, 5)) });
  CHECK(view.ApplyTable({ Row("b", Version(1, 5)) }, Version(1, 60), kNow));
  CHECK(view.Zones() == Zones{ "b" });
  EvacuationView peer;
  peer.Apply({ Row("a", Version(1, 4)) });
  CHECK(Gossip(view, peer));
  CHECK(peer.Zones() == Zones{ "b" });
}

TEST_CASE("a store restored from a copy without an evacuation ends it only "
          "once the operator had time to write it again")
{
  EvacuationView view;
  view.Apply({ Row("a", Version(1, 40)) });
  CHECK_FALSE(view.ApplyTable({}, Version(2, 30), kNow));
  CHECK(view.Zones() == Zones{ "a" });
  SUBCASE("it is written again")
  {
    view.Apply({ Row("a", Version(2, 31)) });
    CHECK_FALSE(view.Tick(kNow + std::chrono::minutes{ 1 }));
    CHECK(view.Zones() == Zones{ "a" });
  }
  SUBCASE("it is not")
  {
    CHECK_FALSE(view.Tick(kNow + std::chrono::seconds{ 9 }));
    CHECK(view.Tick(kNow + std::chrono::seconds{ 10 }));
    CHECK(view.Zones().empty());
  }
}

TEST_CASE("engines of an evacuated zone serve nothing but stay registered")
{
  const EngineEntry inZone{
    .id_ = "e1", .service_ = "s", .zone_ = "a", .startedAt_ = 7
  };
  const EngineEntry other{ .id_ = "e2", .service_ = "s", .zone_ = "b" };
  const EngineList list({ inZone, other }, { "a" });
  REQUIRE(list.EnginesOf("s").size() == 1);
  CHECK(list.EnginesOf("s").front() == other);
  CHECK_FALSE(list.Contains(inZone));
  CHECK(list.IsRegistered("e1", 7));
  CHECK_FALSE(list.IsDraining("e1", 7));
  CHECK_FALSE(list.IsEvacuated("s"));
  CHECK(EngineList({ inZone, other }, { "a", "b" }).IsEvacuated("s"));
  CHECK_FALSE(EngineList({}, { "a" }).IsEvacuated("s"));
}

TEST_CASE("the platform names the evacuated zone in the key of the row")
{
  const platform::TableCodec codec;
  CHECK(codec.EvacuatedZone("evacuate/hall-a") == "hall-a");
  CHECK_FALSE(codec.EvacuatedZone("config"));
  CHECK_FALSE(codec.EvacuatedZone("evacuate/"));
}

} // namespace testing

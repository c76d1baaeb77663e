#include "EngineRegistryFixture.h"

#include <doctest/doctest.h>

namespace testing {

using std::chrono::milliseconds;

TEST_CASE("a row is only replaced by a newer one, whatever its source")
{
  Registry r;
  CHECK(r.registry_.Apply({ Row("a", 5), Row("b", 6) }, r.now_));
  CHECK(r.registry_.Apply({ Removal("a", 8) }, r.now_));
  CHECK_FALSE(r.registry_.Apply({ Row("a", 7) }, r.now_));
  CHECK(r.Names() == "b");
  CHECK(r.registry_.Version() == StoreVersion{ .number_ = 8 });
}

TEST_CASE("a complete table older than the state from peers changes nothing")
{
  Registry r;
  r.registry_.Apply({ Row("a", 5), Row("b", 9) }, r.now_);
  CHECK_FALSE(r.registry_.ApplyAll({ Row("a", 5) }, { .number_ = 8 }, r.now_));
  CHECK(r.Names() == "ab");
  CHECK(r.registry_.ApplyAll({ Row("a", 5) }, { .number_ = 10 }, r.now_));
  CHECK(r.Names() == "a");
}

TEST_CASE("a removal while the store is healthy takes effect at once")
{
  Registry r;
  r.registry_.Apply({ Row("a", 5) }, r.now_);
  r.registry_.OnStoreFailure(r.now_ - milliseconds{ 2300 });
  r.registry_.Apply({ Removal("a", 6) }, r.now_);
  CHECK(r.Names().empty());
}

// Guards against a hold that begins with the removal instead of the store
// failure: a host that was cut off from the store then used an engine 2.0 s
// after its entry was removed.
TEST_CASE(
  "an entry removed after a store failure is held until live engines would "
  "be registered again")
{
  Registry r;
  r.registry_.Apply({ Row("a", 5), Row("b", 6) }, r.now_);
  r.registry_.OnStoreFailure(r.now_);
  r.registry_.Apply({ Removal("a", 7), Removal("b", 8) },
                    r.now_ + milliseconds{ 1000 });
  CHECK(r.Names() == "ab");
  r.registry_.Apply({ Row("b", 9) }, r.now_ + milliseconds{ 1500 });
  CHECK_FALSE(r.registry_.Tick(r.now_ + milliseconds{ 2100 }));
  CHECK(r.registry_.Tick(r.now_ + milliseconds{ 2200 }));
  CHECK(r.Names() == "b");
}

TEST_CASE("an entry that cannot be decoded yields no engine, the others stay")
{
  Registry r;
  auto bad = Row("x", 6);
  bad.value_ = "bad";
  r.registry_.Apply({ Row("a", 5), bad, Row("b", 7) }, r.now_);
  CHECK(r.Names() == "ab");
  CHECK(r.registry_.UnreadableEntries() == 1);
}

TEST_CASE("a row of a later page hides changes to earlier pages")
{
  Registry r;
  r.registry_.ApplyAll({ Row("a", 5), Row("z", 12) }, { .number_ = 10 },
                       r.now_);
  // The next call for changes asks for those after this version.
  CHECK(r.registry_.Version() == StoreVersion{ .number_ = 10 });
  r.registry_.Apply({ Removal("a", 11), Row("z", 12) }, r.now_);
  CHECK(r.Names() == "z");
  CHECK(r.registry_.Version() == StoreVersion{ .number_ = 12 });
}

TEST_CASE("a peer that lags behind brings back an engine that the complete "
          "table no longer lists")
{
  Registry r;
  r.registry_.ApplyAll({ Row("b", 9) }, { .number_ = 20 }, r.now_);
  CHECK_FALSE(r.registry_.Apply({ Row("a", 15) }, r.now_));
  CHECK(r.Names() == "b");
  CHECK(r.registry_.Apply({ Row("a", 21) }, r.now_));
  CHECK(r.Names() == "ab");
}

TEST_CASE("a peer receives the rows that it lacks, including removals")
{
  Registry r;
  r.registry_.Apply({ Row("a", 5), Row("b", 6), Removal("a", 7) }, r.now_);
  const auto rows = r.registry_.RowsAfter({ .number_ = 5 });
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].removed_);
  CHECK(r.registry_.RowsAfter({ .number_ = 7 }).empty());
}

TEST_CASE("rows of a restored store are adopted although their versions are "
          "lower")
{
  RegistryOfFirstEra r({ Before("a", 60), Before("b", 58) });
  r.Restore({ Restored("a", 40), Restored("c", 45) });
  CHECK(r.Names() == "ac");
  CHECK(r.registry_.Version() == StoreVersion{ .era_ = 2, .number_ = 50 });
  r.registry_.Apply({ Restored("d", 51) }, r.now_);
  CHECK(r.Names() == "acd");
}

TEST_CASE("a delayed row of an earlier era changes nothing")
{
  RegistryOfFirstEra r({ Before("a", 60) });
  r.Restore({ Restored("a", 40, "2:2") });
  CHECK_FALSE(r.registry_.Apply({ Before("a", 61, "3:3") }, r.now_));
  CHECK_FALSE(r.registry_.ApplyAll({}, { .era_ = 1, .number_ = 70 }, r.now_));
  REQUIRE(r.registry_.Engines().size() == 1);
  CHECK(r.registry_.Engines()[0].startedAt_ == 2);
}

TEST_CASE("single rows of an era whose table is not known are not adopted")
{
  RegistryOfFirstEra r({ Before("a", 60) });
  CHECK_FALSE(r.registry_.Apply({ Restored("b", 55) }, r.now_));
  CHECK(r.registry_.Version().era_ == 1);
  r.Restore({});
  CHECK(r.registry_.Version().era_ == 2);
  CHECK(r.registry_.Apply({ Restored("b", 55) }, r.now_));
}

TEST_CASE("an engine that drains does so although the restored store lists it "
          "as ready, until it has restarted")
{
  RegistryOfFirstEra r({ Before("a", 60, "1:draining"), Before("b", 59) });
  r.Restore({ Restored("a", 40), Restored("b", 41) });
  CHECK(r.Ready() == "b");
  CHECK(r.Names() == "ab");
  SUBCASE("the restart is in a row of its own")
  {
    r.registry_.Apply({ Restored("a", 52, "2:1") }, r.now_);
    CHECK(r.Ready() == "ab");
  }
  SUBCASE("peers learn that it drains")
  {
    Registry peer;
    peer.registry_.ApplyAll(r.registry_.RowsAfter({}), r.registry_.Version(),
                            r.now_);
    CHECK(peer.Ready() == "b");
  }
}

TEST_CASE("an engine that has restarted since the copy is used as known")
{
  RegistryOfFirstEra r({ Before("a", 60, "5:5") });
  r.Restore({ Restored("a", 40, "4:4") });
  REQUIRE(r.registry_.Engines().size() == 1);
  CHECK(r.registry_.Engines()[0].startedAt_ == 5);
}

TEST_CASE("an engine that is gone is not used when the restored store lists it")
{
  RegistryOfFirstEra r({ Before("a", 55) });
  r.registry_.Apply({ { .key_ = "a",
                        .version_ = { .era_ = 1, .number_ = 61 },
                        .removed_ = true } },
                    r.now_);
  r.Restore({ Restored("a", 55) });
  CHECK(r.Names().empty());
  SUBCASE("unless it registers again")
  {
    r.registry_.Apply({ Restored("a", 56) }, r.now_);
    CHECK(r.Names() == "a");
  }
  SUBCASE("unless the store lists it for longer than a silent engine")
  {
    CHECK_FALSE(r.registry_.Tick(r.now_ + milliseconds{ 9900 }));
    CHECK(r.registry_.Tick(r.now_ + milliseconds{ 10'000 }));
    CHECK(r.Names() == "a");
  }
  SUBCASE("and not later if the store removes its entry")
  {
    auto removal = Restored("a", 53);
    removal.removed_ = true;
    removal.version_.number_ = 58;
    r.registry_.Apply({ removal }, r.now_);
    r.registry_.Tick(r.now_ + milliseconds{ 20'000 });
    CHECK(r.Names().empty());
  }
}

TEST_CASE("an entry that the restored store lacks is held until a live engine "
          "would have registered again")
{
  RegistryOfFirstEra r({ Before("a", 60) });
  r.registry_.OnStoreFailure(r.now_);
  r.Restore({});
  CHECK(r.Names() == "a");
  r.registry_.Tick(r.now_ + milliseconds{ 2200 });
  CHECK(r.Names().empty());
}

} // namespace testing

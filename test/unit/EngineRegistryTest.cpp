#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/EngineRegistry.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

struct Registry
{
  Registry()
    : registry_(
        { .decode_ = [](const std::string& aId,
                        const std::string& aText) -> Result<EngineEntry> {
          if (aText == "bad") {
            return Fail({ .kind_ = ErrorKind::Protocol });
          }
          return EngineEntry{ .id_ = aId, .service_ = "s", .address_ = aText };
        } })
  {
  }

  auto Names() const -> std::string
  {
    std::string names;
    for (const auto& engine : registry_.Engines()) {
      names += engine.id_;
    }
    return names;
  }

  EngineRegistry registry_;
  TimePoint now_{ std::chrono::hours{ 1 } };
};

auto Row(std::string aKey, std::uint64_t aVersion) -> StoreRow
{
  return { .key_ = std::move(aKey), .value_ = "1:1", .version_ = aVersion };
}

auto Removal(std::string aKey, std::uint64_t aVersion) -> StoreRow
{
  return { .key_ = std::move(aKey), .version_ = aVersion, .removed_ = true };
}

} // namespace

TEST_CASE("a row is only replaced by a newer one, whatever its source")
{
  Registry r;
  CHECK(r.registry_.Apply({ Row("a", 5), Row("b", 6) }, r.now_));
  CHECK(r.registry_.Apply({ Removal("a", 8) }, r.now_));
  CHECK_FALSE(r.registry_.Apply({ Row("a", 7) }, r.now_));
  CHECK(r.Names() == "b");
  CHECK(r.registry_.Version() == 8);
}

TEST_CASE("a complete table older than the state from peers changes nothing")
{
  Registry r;
  r.registry_.Apply({ Row("a", 5), Row("b", 9) }, r.now_);
  CHECK_FALSE(r.registry_.ApplyAll({ Row("a", 5) }, 8, r.now_));
  CHECK(r.Names() == "ab");
  CHECK(r.registry_.ApplyAll({ Row("a", 5) }, 10, r.now_));
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

TEST_CASE("a peer receives the rows that it lacks, including removals")
{
  Registry r;
  r.registry_.Apply({ Row("a", 5), Row("b", 6), Removal("a", 7) }, r.now_);
  const auto rows = r.registry_.RowsAfter(5);
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].removed_);
  CHECK(r.registry_.RowsAfter(7).empty());
}

} // namespace testing

#include "EngineRegistryFixture.h"

#include <doctest/doctest.h>

namespace testing {

TEST_CASE("rows of another writer are held, or passed on with their values")
{
  Registry r;
  auto foreign = Row("x", 6);
  foreign.value_ = "bad";
  CHECK_FALSE(r.registry_.Retain(foreign, r.now_));
  foreign.value_ = "bad";
  r.registry_.Apply({ Row("a", 5) }, r.now_);
  CHECK_FALSE(r.registry_.Apply({ foreign }, r.now_));
  const auto rows = r.registry_.RowsAfter({ .number_ = 5 });
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].key_ == "x");
  CHECK(rows[0].value_.empty());
  r.registry_.Tick(r.now_ + std::chrono::seconds{ 61 });
  CHECK(r.registry_.RowsAfter({ .number_ = 5 }).empty());
  CHECK(r.registry_.RowsAfter({}).size() == 1);
}

TEST_CASE("an engine whose entry another writer has replaced stays in use")
{
  for (const auto readsAll : { false, true }) {
    CAPTURE(readsAll);
    Registry r;
    r.registry_.Apply({ Row("a", 5), Row("b", 6) }, r.now_);
    auto foreign = Row("a", 7);
    foreign.value_ = "bad";
    REQUIRE(r.registry_.Retain(foreign, r.now_));
    CHECK(foreign.value_.empty());
    foreign.value_ = "bad";
    r.registry_.OnStoreFailure(r.now_);
    if (readsAll) {
      r.registry_.ApplyAll({ foreign, Row("b", 6) }, { .number_ = 8 }, r.now_);
    } else {
      r.registry_.Apply({ foreign }, r.now_);
    }
    CHECK(r.Names() == "b");
    const auto rows = r.registry_.RowsAfter({ .number_ = 6 });
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].value_.empty());
    r.registry_.Apply({ Row("a", 9) }, r.now_);
    CHECK(r.Names() == "ab");
  }
}

} // namespace testing

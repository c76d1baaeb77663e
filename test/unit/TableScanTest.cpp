#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/TableScan.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

auto Page(const std::vector<std::string>& aKeys, bool aTruncated,
          std::uint64_t aVersion = 7) -> StoreReply
{
  StoreReply page{ .end_ = StoreOutcome::Done,
                   .version_ = { .era_ = 1, .number_ = aVersion },
                   .truncated_ = aTruncated };
  for (const auto& key : aKeys) {
    page.rows_.push_back({ .key_ = key, .value_ = "value" });
  }
  return page;
}

auto Failure(bool aIsInvalidCall = false) -> StoreReply
{
  return { .end_ = StoreOutcome::Refused,
           .isInvalidCall_ = aIsInvalidCall,
           .detail_ = "status" };
}

auto KeysOf(const StoreReply& aTable) -> std::string
{
  std::string keys;
  for (const auto& row : aTable.rows_) {
    keys += row.key_;
  }
  return keys;
}

} // namespace

TEST_CASE("a page that fails loses the pages before it")
{
  TableScan scan({});
  CHECK_FALSE(scan.OnPage(Page({ "a", "b" }, true)));
  const auto next = scan.Next();
  CHECK(next.from_ == "b");
  const auto failure = scan.OnPage(Failure());
  REQUIRE(failure);
  CHECK(failure->end_ == StoreOutcome::Refused);
  CHECK(failure->detail_ == "status; page 2 from key 'b', after 2 rows");
  CHECK(scan.Next() == next);
  // The table is as of the version of its first page.
  const auto table = scan.OnPage(Page({ "b", "c" }, false, 9));
  REQUIRE(table);
  CHECK(table->end_ == StoreOutcome::Done);
  CHECK(KeysOf(*table) == "abc");
  CHECK(table->version_.number_ == 7);
}

TEST_CASE("a call that the store rejects as invalid is made again unchanged")
{
  TableScan scan({});
  scan.OnPage(Page({ "a", "b" }, true));
  scan.OnPage(Page({ "b", "c", "d" }, true));
  const auto rejected = scan.Next();
  scan.OnPage(Failure(true));
  const auto next = scan.Next();
  CHECK(rejected.from_ == "d");
  CHECK(next.from_ == "b");
  CHECK(next.maxRows_ < rejected.maxRows_);
  scan.OnPage(Page({ "b", "c" }, true));
  CHECK(scan.Next().from_ == "c");
  const auto table = scan.OnPage(Page({ "c", "d", "e" }, false));
  REQUIRE(table);
  CHECK(KeysOf(*table) == "abcde");
}

TEST_CASE("pages that the store rejects shrink until they do not advance")
{
  TableScan scan({});
  for (auto i = 0; i < 20; ++i) {
    scan.OnPage(Failure(true));
  }
  CHECK(scan.Next().maxRows_ == 2);
  scan.OnPage(Page({ "a", "b" }, true));
  CHECK(scan.Next().maxRows_ == 4);
}

TEST_CASE("rows of no interest count towards the limit of a table's bytes")
{
  TableScan scan({ .keep_ =
                     [](StoreRow& aRow) {
                       aRow.value_.clear();
                       return aRow.key_ == "b";
                     },
                   .maxBytes_ = 2 });
  CHECK_FALSE(scan.OnPage(Page({ "a", "b" }, true)));
  CHECK_FALSE(scan.OnPage(Page({ "b", "cc", "dd" }, true)));
  const auto table = scan.OnPage(Page({ "dd", "ee" }, false));
  REQUIRE(table);
  CHECK(KeysOf(*table) == "b");
  CHECK(scan.RowsRead() == 7);
  CHECK(scan.RowsKept() == 1);
}

TEST_CASE("a read that exceeds a limit goes on instead of starting over")
{
  TableScan large({ .maxBytes_ = 10 });
  auto failure = large.OnPage(Page({ "a", "b" }, true));
  REQUIRE(failure);
  CHECK(failure->end_ == StoreOutcome::Unanswered);
  CHECK(large.Next().from_.empty());
  TableScan longScan({ .maxPages_ = 1 });
  failure = longScan.OnPage(Page({ "a", "b" }, true));
  REQUIRE(failure);
  CHECK(failure->end_ == StoreOutcome::Unanswered);
  CHECK(longScan.Next().from_.empty());
}

} // namespace testing

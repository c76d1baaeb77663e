#include "Failure.h"

#include <goldcrestcroft/Platform.h>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE("memory table: nothing is written unless all conditions hold")
{
  MemoryTable table;
  const RowKey a{ "t", "a" };
  const RowKey b{ "t", "b" };
  const auto first =
    table.Transact({ { .key_ = a, .value_ = "1", .expected_ = 0 } });
  REQUIRE(first.status_ == TableStatus::Done);
  const auto failed =
    table.Transact({ { .key_ = b, .value_ = "2", .expected_ = 0 },
                     { .key_ = a, .value_ = "3", .expected_ = 0 } });
  CHECK(failed.status_ == TableStatus::Conflict);
  REQUIRE(failed.conflicts_.size() == 1);
  CHECK(failed.conflicts_[0].value_ == "1");
  CHECK(table.Read({ b }).rows_.empty());
  const auto erased =
    table.Transact({ { .key_ = a, .expected_ = first.versions_[0] } });
  CHECK(erased.status_ == TableStatus::Done);
  CHECK(table.Read({ a }).rows_.empty());
}

TEST_CASE("memory table: rows expire")
{
  MemoryTable table;
  const RowKey key{ "t", "a" };
  table.Transact({ { .key_ = key, .value_ = "1", .expiresAfterSeconds_ = 5 } },
                 100);
  CHECK(table.Read({ key }, 104).rows_.size() == 1);
  CHECK(table.Read({ key }, 105).rows_.empty());
  CHECK(table.Transact({ { .key_ = key, .value_ = "2", .expected_ = 0 } }, 105)
          .status_ == TableStatus::Done);
}

TEST_CASE("table codec: encoded bodies decode to the same values")
{
  const std::vector<RowWrite> writes{
    { .key_ = { "t", "a" }, .value_ = "v", .expected_ = 0 },
    { .key_ = { "t", "b" }, .expected_ = 7, .expiresAfterSeconds_ = 9 },
    { .key_ = { "t", "c" }, .value_ = "" }
  };
  CHECK(ValueOf([&] { return DecodeWrites(EncodeWrites(writes)); }) == writes);
  const TransactReply conflict{ .status_ = TableStatus::Conflict,
                                .conflicts_ = { { { "t", "a" }, "v", 3 } } };
  CHECK(ValueOf([&] { return DecodeTransactReply(EncodeReply(conflict)); }) ==
        conflict);
  CHECK(FailureOfResult([] { return DecodeReadReply("{}"); }).kind_ ==
        ErrorKind::Protocol);
}

TEST_CASE("member list: live and leaving members are decoded, and a malformed "
          "list is rejected")
{
  const auto members = ValueOf([] {
    return DecodeMemberList(
      R"({"members":[{"id":"a","state":"live"},{"id":"b","state":"leaving"}]})");
  });
  REQUIRE(members.size() == 2);
  CHECK_FALSE(members[0].leaving_);
  CHECK(members[1].leaving_);
  CHECK(FailureOfResult([] { return DecodeMemberList("[]"); }).kind_ ==
        ErrorKind::Protocol);
}

} // namespace testing

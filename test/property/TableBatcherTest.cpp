#include "Property.h"

#include <goldcrestcroft/Once.h>

#include <map>

namespace testing {

namespace {

using namespace goldcrestcroft;

} // namespace

TEST_CASE(
  "table batcher: each write ends once, with the result it would have alone")
{
  CheckProperty([] {
    TableBatcher batcher({ .period_ = Duration{ 10 }, .maxBatch_ = 4 });
    MemoryTable table;
    VirtualClock clock;
    std::map<WriteTicket, int> ended;
    std::map<std::string, int> winners;
    std::map<WriteTicket, std::string> keys;
    for (const auto choice : *Schedule(200)) {
      clock.Advance(Duration{ choice % 7 });
      if (choice % 2 == 0) {
        const auto key = std::to_string(choice / 2 % 5);
        const auto ticket =
          batcher.Add({ .key_ = { "t", key }, .value_ = "v", .expected_ = 0 });
        RC_ASSERT(ticket.has_value());
        keys[*ticket] = key;
      }
      const auto batch = batcher.NextBatch(clock.Now());
      if (!batch) {
        continue;
      }
      RC_ASSERT(batch->size() <= 4U);
      RC_ASSERT(!batcher.NextBatch(clock.Now()).has_value());
      for (const auto& result : batcher.OnReply(table.Transact(*batch))) {
        ++ended[result.ticket_];
        winners[keys[result.ticket_]] +=
          result.status_ == TableStatus::Done ? 1 : 0;
        if (result.status_ == TableStatus::Conflict) {
          RC_ASSERT(result.row_.version_ > 0U);
        }
      }
    }
    for (const auto& [ticket, times] : ended) {
      RC_ASSERT(times == 1);
    }
    for (const auto& [key, wins] : winners) {
      RC_ASSERT(wins == 1);
    }
  });
}

TEST_CASE("table batcher: the queue and the rate are bounded")
{
  TableBatcher batcher({ .period_ = std::chrono::milliseconds{ 20 },
                         .maxBatch_ = 8,
                         .maxQueue_ = 16 });
  VirtualClock clock;
  auto refused = 0;
  auto transactions = 0;
  for (auto i = 0; i < 10'000; ++i) {
    clock.Advance(Duration{ 100 });
    refused += batcher.Add({ .key_ = { "t", std::to_string(i) } }) ? 0 : 1;
    if (batcher.NextBatch(clock.Now())) {
      ++transactions;
      batcher.OnReply({ .status_ = TableStatus::Done });
    }
    CHECK(batcher.Queued() <= 16);
  }
  CHECK(refused > 0);
  CHECK(transactions <= 51); // one second at one per 20 ms
}

TEST_CASE(
  "table batcher: a slow service gets one transaction of a host at a time")
{
  TableBatcher batcher({ .period_ = std::chrono::milliseconds{ 20 },
                         .maxBatch_ = 8,
                         .maxQueue_ = 64 });
  VirtualClock clock;
  for (auto i = 0; i < 32; ++i) {
    batcher.Add({ .key_ = { "t", std::to_string(i) } });
  }
  REQUIRE(batcher.NextBatch(clock.Now()).has_value());
  clock.Advance(std::chrono::seconds{ 1 });
  CHECK_FALSE(batcher.NextDue().has_value());
  CHECK_FALSE(batcher.NextBatch(clock.Now()).has_value());
  CHECK(batcher.OnReply({ .status_ = TableStatus::Done }).size() == 8);
  CHECK(batcher.NextBatch(clock.Now()).has_value());
}

} // namespace testing

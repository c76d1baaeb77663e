#include "../platform/StoreStandin.h"

#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/TableScan.h>
#include <platform/StoreClient.h>

#include <random>

namespace testing {

namespace {

using namespace goldcrestcroft;
using Rows = std::map<std::string, std::string>;

constexpr auto kAddress = "127.0.0.1:7291";

/** \brief The store, and a client of it that reads a table as a whole. */
class ReadBackFixture
{
public:
  auto Store() -> standins::StoreStandin& { return store_; }
  template<typename Read>
  auto Run(Read aRead) -> StoreReply
  {
    StoreReply reply;
    asio::co_spawn(
      context_, [&]() -> Task<void> { reply = co_await aRead(client_); },
      [&](const auto&) { context_.stop(); });
    context_.restart();
    context_.run();
    return reply;
  }
  auto ReadTable() -> StoreReply
  {
    return Run([](auto& aClient) -> Task<StoreReply> {
      TableScan scan({});
      co_return co_await goldcrestcroft::ReadTable(aClient, StoreTable::Engines,
                                                   scan);
    });
  }
  auto ReadRow(const std::string& aKey) -> StoreReply
  {
    return Run([&](auto& aClient) -> Task<StoreReply> {
      co_return co_await aClient.ReadRow(StoreTable::Engines, aKey);
    });
  }

private:
  asio::io_context context_;
  standins::StoreStandin store_{ context_, kAddress };
  platform::StoreClient client_{ context_, { .address_ = kAddress } };
};

/** Appends a code point as UTF-8. */
auto AppendUtf8(std::string& aText, unsigned aCode) -> void
{
  const auto tail = [&](unsigned aShift) {
    aText += static_cast<char>(0x80U | ((aCode >> aShift) & 0x3FU));
  };
  if (aCode < 0x80U) {
    aText += static_cast<char>(aCode);
  } else if (aCode < 0x800U) {
    aText += static_cast<char>(0xC0U | (aCode >> 6U));
    tail(0);
  } else {
    aText += static_cast<char>(0xE0U | (aCode >> 12U));
    tail(6);
    tail(0);
  }
}

/** A key of up to 200 bytes, mostly of characters that have a meaning in a
 * target. */
auto RandomKey(std::mt19937& aRandom) -> std::string
{
  constexpr std::string_view kSpecial = "%+&=#?/ \r\n\t\"\\;:0aA";
  constexpr std::size_t kMaxBytes = 200;
  constexpr unsigned kSurrogates = 0xD800U;
  const auto size = aRandom() % (kMaxBytes + 1);
  std::string key;
  for (std::string next; key.size() + next.size() <= size;) {
    key += next;
    next.clear();
    switch (aRandom() % 3) {
      case 0:
        AppendUtf8(next, aRandom() % 0x80U);
        break;
      case 1:
        AppendUtf8(next, aRandom() % kSurrogates);
        break;
      default:
        next += kSpecial[aRandom() % kSpecial.size()];
        break;
    }
  }
  return key;
}

auto RandomRows(std::mt19937& aRandom) -> Rows
{
  constexpr std::size_t kLargeBytes = 60'000;
  const auto isLarge = aRandom() % 3 == 0;
  const auto count = isLarge ? aRandom() % 60 : aRandom() % 1600;
  Rows rows;
  for (unsigned i = 0; i < count; ++i) {
    const auto bytes = aRandom() % (isLarge ? kLargeBytes : 20);
    rows[RandomKey(aRandom)] =
      std::string(bytes, static_cast<char>(aRandom() % 256));
  }
  return rows;
}

} // namespace

TEST_CASE("rows with keys that have a meaning in a target are lost, come twice "
          "or fail the read")
{
  constexpr auto kTables = 40;
  for (unsigned seed = 0; seed < kTables; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto rows = RandomRows(random);
    ReadBackFixture fixture;
    fixture.Store().PutAll("servers", rows);
    const auto table = fixture.ReadTable();
    CHECK(table.detail_.empty());
    REQUIRE(table.end_ == StoreOutcome::Done);
    REQUIRE(table.rows_.size() == rows.size());
    auto expected = rows.begin();
    for (const auto& row : table.rows_) {
      CHECK(row.key_ == expected->first);
      CHECK(row.value_ == expected->second);
      ++expected;
    }
    const auto key =
      rows.empty()
        ? RandomKey(random)
        : std::next(rows.begin(),
                    static_cast<std::ptrdiff_t>(random() % rows.size()))
            ->first;
    CHECK(fixture.ReadRow(key).rows_.size() == (rows.empty() ? 0 : 1));
    CHECK(fixture.Store().invalidCalls_ == 0);
  }
}

} // namespace testing

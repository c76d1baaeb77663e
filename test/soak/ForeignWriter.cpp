#include "ForeignWriter.h"

#include "LoopbackProxy.h"

#include <array>

namespace soak {

using namespace goldcrestcroft;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeedsPerWriter = 10;
constexpr std::uint64_t kFirstOfWriters = 4;
constexpr std::array kTables = { "servers", "hosts",           "op",
                                 "held",    "stream_versions", "streams" };
/** More than a page of 500 rows. */
constexpr std::size_t kFirstRows = 700;
constexpr std::size_t kMaxChangedRows = 30;
constexpr auto kInterval = 250ms;
/** Keys of this writer, so that it removes no others. */
const std::string kPrefix = "a";

} // namespace

auto HasForeignWriter(std::uint64_t aSeed) -> bool
{
  return aSeed % kSeedsPerWriter == kFirstOfWriters;
}

auto ForeignWriter::Key() -> std::string
{
  static const std::array<std::string, 10> kEndings = {
    "%",  "%4",     "%41",       "+",   "&limit=1",
    "#b", "\r\nX:", "\xc3\xa4 ", "?/=", "\"\\"
  };
  constexpr unsigned kKeys = 1000;
  const auto number = std::to_string(kKeys + random_() % kKeys);
  const auto pad = std::string(random_() % 3 == 0 ? 180 : 0, 'k');
  return kPrefix + number + pad + kEndings.at(random_() % kEndings.size());
}

auto ForeignWriter::Value() -> std::string
{
  static const std::array<std::string, 6> kValues = {
    "",
    "{}",
    "[[[[",
    "\xff\xfe",
    R"({"service":"desk","state":"ready"})",
    R"({"peers":7,"suspected_generation":"x"})"
  };
  return kValues.at(random_() % kValues.size());
}

auto ForeignWriter::WriteRows(const std::string& aTable, std::size_t aCount)
  -> void
{
  std::map<std::string, std::string> rows;
  for (std::size_t i = 0; i < aCount; ++i) {
    rows[Key()] = Value();
  }
  fleet_.Platform().Store().PutAll(aTable, rows);
}

auto ForeignWriter::Run() -> Task<void>
{
  for (const auto* table : kTables) {
    WriteRows(table, kFirstRows);
  }
  for (;;) {
    co_await Sleep(context_, kInterval);
    const std::string table = kTables.at(random_() % kTables.size());
    constexpr unsigned kRemovesOneIn = 8;
    if (random_() % kRemovesOneIn == 0) {
      fleet_.Platform().Store().RemoveAll(
        table, kPrefix + "1" + std::to_string(random_() % 10));
    } else {
      WriteRows(table, 1 + random_() % kMaxChangedRows);
    }
  }
}

} // namespace soak

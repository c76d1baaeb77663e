#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

namespace testing {

namespace {

constexpr std::size_t kHosts = 2;
/** Rows of another writer, more than fit into a page of the store. */
constexpr auto kRows = 620;
const std::string kPrefix = "a";

/** Number of a row in its key, so that all numbers have the same length. */
auto RowNumber(int aRow) -> std::string
{
  constexpr auto kFirst = 10'000;
  return std::to_string(kFirst + aRow);
}

/** \brief Hosts that are all killed and start again while the store has rows of
 * another writer. */
class RestartedFleet
{
public:
  RestartedFleet()
  {
    for (std::size_t i = 0; i < kHosts; ++i) {
      REQUIRE(fleet_.AwaitReady(i));
    }
  }

  auto Store() -> standins::StoreStandin& { return fleet_.Platform().Store(); }
  auto Fleet() -> EntryFleet& { return fleet_; }
  /** \brief Replaces the rows of the other writer in all tables that hosts
   * read. */
  auto ReplaceRows(const std::map<std::string, std::string>& aRows) -> void
  {
    for (const auto* table : { "servers", "hosts", "op", "held", "streams" }) {
      Store().RemoveAll(table, kPrefix);
      Store().PutAll(table, aRows);
    }
  }
  /** \brief Restarts all hosts at once; returns how many serve soon. */
  auto Restart() -> std::size_t
  {
    for (std::size_t i = 0; i < kHosts; ++i) {
      fleet_.ProcessOf(i).Kill();
    }
    Store().enginePages_ = 0;
    Store().invalidCalls_ = 0;
    for (std::size_t i = 0; i < kHosts; ++i) {
      fleet_.Start(i);
    }
    std::size_t serving = 0;
    for (std::size_t i = 0; i < kHosts; ++i) {
      serving +=
        fleet_.AwaitReady(i) && fleet_.Get(i, "/safe/x").status_ == 200 ? 1 : 0;
    }
    return serving;
  }
  /** \brief Peak of the host's resident memory in MB. */
  auto PeakMemoryMb(std::size_t aHost) -> std::size_t
  {
    constexpr std::size_t kKbPerMb = 1024;
    std::ifstream status(
      "/proc/" + std::to_string(fleet_.ProcessOf(aHost).Pid()) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.starts_with("VmHWM:")) {
        return std::stoul(line.substr(line.find(':') + 1)) / kKbPerMb;
      }
    }
    FAIL("the process has no peak of its memory");
    return 0;
  }

private:
  EntryFleet fleet_{ kHosts };
};

/** Rows whose keys all end with the text, so that every page does. */
auto RowsEndingWith(const std::string& aText)
  -> std::map<std::string, std::string>
{
  std::map<std::string, std::string> rows;
  for (auto i = 0; i < kRows; ++i) {
    rows[kPrefix + RowNumber(i) + aText] = "{}";
  }
  return rows;
}

auto LargeRows(int aCount) -> std::map<std::string, std::string>
{
  constexpr std::size_t kBytes = 60'000;
  std::map<std::string, std::string> rows;
  for (auto i = 0; i < aCount; ++i) {
    rows[kPrefix + RowNumber(i)] = std::string(kBytes, 'x');
  }
  return rows;
}

} // namespace

TEST_CASE("keys that another writer chose keep hosts that start from reading "
          "the tables")
{
  RestartedFleet fleet;
  const std::vector<std::string> endings = {
    "",
    "%",
    "14%1",
    "%41",
    "+",
    " ",
    "&limit=1",
    "#b",
    "?/=;",
    "\"\\",
    "\r\nX: y",
    "\xc3\xa4\xe2\x82\xac",
    std::string("\0b", 2),
    std::string(200 - kPrefix.size() - 5, 'k'),
  };
  for (const auto& ending : endings) {
    CAPTURE(ending);
    fleet.ReplaceRows(RowsEndingWith(ending));
    CHECK(fleet.Restart() == kHosts);
    CHECK(fleet.Store().invalidCalls_ == 0);
    // Two pages of 500 rows at each host, and one in reserve.
    CHECK(fleet.Store().enginePages_ <= 3 * kHosts);
  }
}

TEST_CASE("large rows of another writer keep hosts from starting or grow their "
          "memory")
{
  RestartedFleet fleet;
  fleet.ReplaceRows({});
  REQUIRE(fleet.Restart() == kHosts);
  const auto usual = fleet.PeakMemoryMb(0);
  constexpr auto kLargeRows = 330; // 20 MB, of which a page holds 13.
  constexpr auto kPages = 26;
  constexpr std::size_t kMaxGrowthMb = 16;
  fleet.Store().PutAll("servers", LargeRows(kLargeRows));
  CHECK(fleet.Restart() == kHosts);
  // A host may learn the engines from the other one before it has read them.
  CHECK(fleet.Store().enginePages_ >= kPages);
  CHECK(fleet.Store().enginePages_ <= (kPages + kPages / 4) * kHosts);
  for (std::size_t i = 0; i < kHosts; ++i) {
    CHECK(fleet.PeakMemoryMb(i) <= usual + kMaxGrowthMb);
  }
}

TEST_CASE("a burst of rows of another writer stops hosts that run from "
          "following the table of engines")
{
  RestartedFleet fleet;
  constexpr auto kLargeRows = 200; // 16 MB in one reply of changes.
  fleet.Store().PutAll("servers", LargeRows(kLargeRows));
  auto& leaving = *fleet.Fleet().Platform().Engines("desk")[0];
  fleet.Store().Put("servers", leaving.Id(), leaving.Entry("desk", "draining"));
  std::this_thread::sleep_for(std::chrono::milliseconds{ 2000 });
  const auto before = leaving.ReceivedCount();
  for (std::size_t i = 0; i < kHosts; ++i) {
    for (auto call = 0; call < 20; ++call) {
      CHECK(fleet.Fleet().Get(i, "/safe/x").status_ == 200);
    }
  }
  CHECK(leaving.ReceivedCount() == before);
}

} // namespace testing

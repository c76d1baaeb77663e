#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

/** Opens aDepth nested lists and closes them. */
auto Nested(std::size_t aDepth) -> std::string
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

auto Entry(const std::string& aFields) -> std::string
{
  return R"({"service":"desk","zone":"z1","state":"ready",)" + aFields + "}";
}

/** Malformed and extreme values that another writer may leave; a row has 64 KB
 * at most. */
auto MalformedValues() -> std::vector<std::string>
{
  const std::string address = R"("address":"127.0.0.1:9")";
  std::vector<std::string> values = {
    "",
    "\xff\xfe\x00",
    Nested(30'000),
    Entry(address + R"(,"slots":)" + Nested(30'000)),
    Entry(R"("address":)" + Nested(30'000)),
    std::string(30'000, '{'),
    Entry(R"("address":17)"),
    Entry(R"("address":null)"),
    Entry(R"("address":")" + std::string(40'000, '9') + "\""),
  };
  for (const auto* port : { "0", "-1", "65536", "1000000000", "99999999999999",
                            "9e9", "http", "", "9:9" }) {
    values.push_back(
      Entry(R"("address":"127.0.0.1:)" + std::string(port) + "\""));
  }
  for (const auto* number :
       { "-1", "0", "1e308", "1e400", "-1e400", "18446744073709551616",
         "9223372036854775808", "0.5", "\"8\"", "true", "{}" }) {
    for (const auto* field :
         { "slots", "born", "sequence", "warmup_left_ms", "version" }) {
      values.push_back(Entry(address + ",\"" + field + "\":" + number));
    }
  }
  values.push_back(Entry(address + R"(,"slots":1)" + std::string(400, '0')));
  return values;
}

auto CheckServes(EntryFleet& aFleet, std::size_t aHost) -> void
{
  for (auto i = 0; i < 30; ++i) {
    CHECK(aFleet.Get(aHost, "/safe/x").status_ == 200);
  }
}

} // namespace

TEST_CASE(
  "malformed entries in the store neither crash hosts nor stop them from "
  "following its tables")
{
  constexpr std::size_t kHosts = 3;
  EntryFleet fleet(kHosts);
  for (std::size_t i = 0; i + 1 < kHosts; ++i) {
    REQUIRE(fleet.AwaitReady(i));
  }
  fleet.ProcessOf(kHosts - 1).Kill();
  auto& store = fleet.Platform().Store();
  auto number = 0;
  for (const auto& value : MalformedValues()) {
    const auto key = "odd-" + std::to_string(++number);
    store.Put("servers", key, value);
    store.Put("hosts", key, value);
    store.Put("op", key, value);
  }
  store.Put("servers", std::string(200, '['), "{}");
  store.Put("servers", "", Nested(20'000));
  // One host starts while these entries are present.
  fleet.Start(kHosts - 1);
  for (std::size_t i = 0; i < kHosts; ++i) {
    REQUIRE(fleet.AwaitReady(i));
    CheckServes(fleet, i);
    const auto starts = i + 1 < kHosts ? 1 : 2;
    CHECK(CountOf(fleet.Log(i), "\"event\":\"started\"") == starts);
    CHECK(CountOf(fleet.Log(i), "\"event\":\"task_failed\"") == 0);
  }
  // Later changes are still followed.
  auto& leaving = *fleet.Platform().Engines("desk")[0];
  store.Put("servers", leaving.Id(), leaving.Entry("desk", "draining"));
  fleet.Platform().PutConfig(2, "/new/");
  std::this_thread::sleep_for(std::chrono::milliseconds{ 1000 });
  const auto before = leaving.ReceivedCount();
  for (std::size_t i = 0; i < kHosts; ++i) {
    CheckServes(fleet, i);
    CHECK(fleet.Get(i, "/new/x").status_ == 200);
  }
  CHECK(leaving.ReceivedCount() == before);
}

} // namespace testing

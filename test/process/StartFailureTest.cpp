#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

/** Exit code of a host that ended by itself within some seconds. */
auto ExitCodeOf(EntryFleet& aFleet) -> std::optional<int>
{
  auto& process = aFleet.ProcessOf(0);
  if (!EntryFleet::Await([&] { return !process.IsRunning(); })) {
    return std::nullopt;
  }
  return process.ExitCode();
}

} // namespace

TEST_CASE("a host that cannot start says which setting is at fault")
{
  struct Case
  {
    std::string old_;
    std::string new_;
    std::string setting_;
  };
  const auto ip = standins::TestIp();
  const Case cases[] = {
    { "\"callers\": \"" + ip, R"("callers": "nowhere)", "callers" },
    { "\"callers\": \"" + ip + ":8300\",", "", "callers" },
    { "\"store\": \"" + ip, R"("store": "store.example)", "store" },
    { "\"ip\": \"" + ip, R"("ip": "here)", "ip" },
    { R"("host": "h0",)", "", "host" },
    { R"("peer_port": 8305)", R"("peer_port": 0)", "peer_port" },
  };
  for (const auto& item : cases) {
    CAPTURE(item.new_);
    EntryFleet fleet(1);
    fleet.RestartWith(0, item.old_, item.new_);
    const auto code = ExitCodeOf(fleet);
    REQUIRE(code);
    // EX_CONFIG: another start would fail in the same way.
    CHECK(*code == 78);
    CHECK(fleet.Log(0).find("'" + item.setting_ + "'") != std::string::npos);
  }
}

} // namespace testing

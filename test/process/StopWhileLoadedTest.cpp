#include "../soak/HostExit.h"
#include "EntryFleet.h"
#include "TempFolder.h"

#include <doctest/doctest.h>

#include <filesystem>

namespace testing {

using namespace std::chrono_literals;

TEST_CASE("a host that receives SIGTERM while its program is being loaded or "
          "started exits cleanly or before it serves")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  constexpr auto kRounds = 3;
  auto loaded = 0;
  auto started = 0;
  for (const auto after : { 0ms, 1ms, 2ms, 5ms, 10ms, 20ms, 50ms }) {
    for (auto i = 0; i < kRounds; ++i) {
      fleet.ProcessOf(0).Kill();
      const auto log = fleet.Log(0).size();
      fleet.Start(0);
      std::this_thread::sleep_for(after);
      const auto wasOpen = soak::IsOpen(fleet.CallerAddress(0));
      fleet.ProcessOf(0).Signal(SIGTERM);
      const soak::HostExit end{ .code_ = fleet.ProcessOf(0).Wait(),
                                .wasOpen_ = wasOpen,
                                .hasLogged_ = fleet.Log(0).size() > log };
      CHECK(end.Problem().value_or("") == "");
      loaded += end.EndedBeforeServing() ? 1 : 0;
      started += end.code_ == 0 ? 1 : 0;
    }
  }
  MESSAGE(loaded << " ended while the program was being loaded, " << started
                 << " after that");
}

TEST_CASE(
  "a host killed by SIGTERM after its first log line is reported as a problem")
{
  TempFolder folder;
  const auto log = folder.Path() + "/log";
  Process process("/bin/sh", { "-c", "echo started; exec sleep 60" }, log);
  const auto size = [&] {
    std::error_code none;
    const auto bytes = std::filesystem::file_size(log, none);
    return none ? 0 : bytes;
  };
  REQUIRE(EntryFleet::Await([&] { return size() > 0; }));
  process.Signal(SIGTERM);
  const soak::HostExit end{ .code_ = process.Wait(), .hasLogged_ = size() > 0 };
  CHECK(end.code_ == -SIGTERM);
  CHECK(end.Problem());
  CHECK_FALSE(end.EndedBeforeServing());
}

} // namespace testing

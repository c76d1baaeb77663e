#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <csignal>

namespace testing {

namespace {

/** Reserved for documentation, so that no machine has it. */
const std::string kMissing = "192.0.2.1";
/** More than the grace period below and the margin for a port to be released.
 */
constexpr auto kPredecessorTime = std::chrono::milliseconds{ 3000 };

} // namespace

TEST_CASE("a host whose machine has no network yet does not end")
{
  EntryFleet fleet(1);
  fleet.ProcessOf(0).Kill();
  fleet.ChangeSettings(0, R"("grace_s": 5)", R"("grace_s": 0.1)");
  const auto address = R"("callers": ")" + standins::TestIp();
  fleet.ChangeSettings(0, address, R"("callers": ")" + kMissing);
  fleet.Start(0);
  std::this_thread::sleep_for(kPredecessorTime);
  CHECK(fleet.ProcessOf(0).IsRunning());
  CHECK(CountOf(fleet.Log(0), "\"event\":\"address_missing\"") == 1);
  fleet.ProcessOf(0).Signal(SIGTERM);
  CHECK(fleet.ProcessOf(0).Wait() == 0);
}

} // namespace testing

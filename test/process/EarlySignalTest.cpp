#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>

namespace testing {

namespace {

/** Slows the initialisers of processes that are started meanwhile; each creates
 * the file when they begin. */
class SlowInitialisers
{
public:
  explicit SlowInitialisers(const std::string& aMark)
  {
    setenv("INITIALISER_MARK", aMark.c_str(), 1);
    setenv("LD_PRELOAD", SLOW_INITIALISER, 1);
  }
  SlowInitialisers(const SlowInitialisers&) = delete;
  auto operator=(const SlowInitialisers&) -> SlowInitialisers& = delete;
  ~SlowInitialisers()
  {
    unsetenv("LD_PRELOAD");
    unsetenv("INITIALISER_MARK");
  }
};

/** Starts the host; returns whether its initialisers have begun. */
auto StartSlowly(EntryFleet& aFleet) -> bool
{
  const TempFolder folder;
  const auto mark = folder.Path() + "/mark";
  aFleet.ProcessOf(0).Kill();
  const SlowInitialisers slow(mark);
  aFleet.Start(0);
  return EntryFleet::Await([&] { return std::filesystem::exists(mark); });
}

} // namespace

TEST_CASE("a reload signal while the program is loaded does not end a host")
{
  EntryFleet fleet(1);
  REQUIRE(StartSlowly(fleet));
  fleet.ProcessOf(0).Signal(SIGHUP);
  CHECK(fleet.AwaitReady(0));
  REQUIRE(fleet.ProcessOf(0).IsRunning());
  fleet.ProcessOf(0).Signal(SIGTERM);
  CHECK(fleet.ProcessOf(0).Wait() == 0);
}

TEST_CASE("a stop signal while the program is loaded stops a host in order")
{
  EntryFleet fleet(1);
  REQUIRE(StartSlowly(fleet));
  fleet.ProcessOf(0).Signal(SIGTERM);
  CHECK(fleet.ProcessOf(0).Wait() == 0);
}

} // namespace testing

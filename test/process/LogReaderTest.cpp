#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>

namespace testing {

namespace {

/** A reader of the output of a process, through a named pipe. */
class LogReader
{
public:
  explicit LogReader(const std::string& aPipe)
  {
    mkfifo(aPipe.c_str(), 0600);
    descriptor_ = open(aPipe.c_str(), O_RDONLY | O_NONBLOCK);
  }
  LogReader(const LogReader&) = delete;
  auto operator=(const LogReader&) -> LogReader& = delete;
  ~LogReader() { Stop(); }

  /** Whether the process has written something. */
  [[nodiscard]] auto HasRead() const -> bool
  {
    char byte = 0;
    return read(descriptor_, &byte, 1) == 1;
  }
  auto Stop() -> void
  {
    if (descriptor_ >= 0) {
      close(std::exchange(descriptor_, -1));
    }
  }

private:
  int descriptor_ = -1;
};

} // namespace

TEST_CASE("a host serves and stops in order after the reader of its log ended")
{
  EntryFleet fleet(1);
  fleet.ProcessOf(0).Kill();
  const TempFolder folder;
  const auto pipe = folder.Path() + "/log";
  LogReader reader(pipe);
  fleet.StartWithLog(0, pipe);
  REQUIRE(fleet.AwaitReady(0));
  REQUIRE(reader.HasRead());
  reader.Stop();
  // Each request writes a line.
  for (auto i = 0; i < 5; ++i) {
    CHECK(fleet.Get(0, "/safe/x").status_ == 200);
  }
  REQUIRE(fleet.ProcessOf(0).IsRunning());
  fleet.ProcessOf(0).Signal(SIGTERM);
  CHECK(fleet.ProcessOf(0).Wait() == 0);
}

TEST_CASE("signals of failed writes do not end a host")
{
  for (const auto signal : { SIGPIPE, SIGXFSZ }) {
    CAPTURE(signal);
    EntryFleet fleet(1);
    REQUIRE(fleet.AwaitReady(0));
    fleet.ProcessOf(0).Signal(signal);
    CHECK(fleet.Get(0, "/safe/x").status_ == 200);
    fleet.ProcessOf(0).Signal(SIGTERM);
    CHECK(fleet.ProcessOf(0).Wait() == 0);
  }
}

} // namespace testing

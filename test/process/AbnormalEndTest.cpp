#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>

namespace testing {

namespace {

/** Limits the file descriptors of processes that are started meanwhile. */
class FewDescriptors
{
public:
  explicit FewDescriptors(rlim_t aLimit)
  {
    getrlimit(RLIMIT_NOFILE, &before_);
    const rlimit lowered{ .rlim_cur = aLimit, .rlim_max = before_.rlim_max };
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  FewDescriptors(const FewDescriptors&) = delete;
  auto operator=(const FewDescriptors&) -> FewDescriptors& = delete;
  ~FewDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }

private:
  rlimit before_{};
};

auto LastLine(const std::string& aLog) -> std::string
{
  const auto end = aLog.find_last_not_of('\n');
  const auto begin = aLog.rfind('\n', end);
  return aLog.substr(begin + 1, end - begin);
}

} // namespace

TEST_CASE("a host that a signal ends names the signal in its last line")
{
  struct Case
  {
    int signal_ = 0;
    std::string name_;
  };
  const Case cases[] = { { SIGABRT, "SIGABRT" }, { SIGSEGV, "SIGSEGV" },
                         { SIGBUS, "SIGBUS" },   { SIGFPE, "SIGFPE" },
                         { SIGILL, "SIGILL" },   { SIGQUIT, "SIGQUIT" },
                         { SIGXCPU, "SIGXCPU" } };
  EntryFleet fleet(1);
  for (const auto& item : cases) {
    CAPTURE(item.name_);
    REQUIRE(fleet.AwaitReady(0));
    fleet.ProcessOf(0).Signal(item.signal_);
    CHECK(fleet.ProcessOf(0).Wait() == -item.signal_);
    CHECK(LastLine(fleet.Log(0)).find("ended by signal " + item.name_) !=
          std::string::npos);
    fleet.Start(0);
  }
}

TEST_CASE("a signal that means nothing to a host does not end it")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  for (const auto signal :
       { SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGPWR }) {
    CAPTURE(signal);
    fleet.ProcessOf(0).Signal(signal);
    CHECK(fleet.Get(0, "/safe/x").status_ == 200);
    CHECK(fleet.ProcessOf(0).IsRunning());
    fleet.ProcessOf(0).Kill();
    fleet.Start(0);
    // The program is loaded within this time and does not serve yet.
    std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
    fleet.ProcessOf(0).Signal(signal);
    CHECK(fleet.AwaitReady(0));
    CHECK(fleet.ProcessOf(0).IsRunning());
  }
}

TEST_CASE("a host that a signal ends does not wait for the reader of its log")
{
  EntryFleet fleet(1);
  fleet.ProcessOf(0).Kill();
  const TempFolder folder;
  const auto pipe = folder.Path() + "/log";
  mkfifo(pipe.c_str(), 0600);
  const auto reader = open(pipe.c_str(), O_RDONLY | O_NONBLOCK);
  fleet.StartWithLog(0, pipe);
  REQUIRE(fleet.AwaitReady(0));
  const auto writer = open(pipe.c_str(), O_WRONLY | O_NONBLOCK);
  while (write(writer, "x", 1) == 1) {
  }
  fleet.ProcessOf(0).Signal(SIGABRT);
  CHECK(EntryFleet::Await([&] { return !fleet.ProcessOf(0).IsRunning(); }));
  close(writer);
  close(reader);
}

TEST_CASE("a host without file descriptors ends with a reason")
{
  EntryFleet fleet(1);
  fleet.ProcessOf(0).Kill();
  {
    // Enough to load the program, too few for an event loop.
    const FewDescriptors limit(5);
    fleet.Start(0);
  }
  CHECK(fleet.ProcessOf(0).Wait() == 1);
  CHECK(LastLine(fleet.Log(0)).find("Too many open files") !=
        std::string::npos);
}

} // namespace testing

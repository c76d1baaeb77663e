#include "AbnormalEnd.h"

#include <poll.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>

namespace goldcrestcroft {

namespace {

/** Signals of faults, and others whose default action ends a process. */
constexpr int kReportedSignals[] = { SIGABRT, SIGBUS,  SIGFPE, SIGILL,
                                     SIGSEGV, SIGQUIT, SIGXCPU };

/** Only calls that are safe in a handler of a signal. */
auto WriteText(const char* aText) -> void
{
  // A pipe that nobody reads would keep the process from ending.
  pollfd output{ .fd = STDERR_FILENO, .events = POLLOUT };
  if (poll(&output, 1, 0) != 1) {
    return;
  }
  // There is nowhere left to report an error of this write.
  [[maybe_unused]] const auto written =
    write(STDERR_FILENO, aText, std::strlen(aText));
}

extern "C" auto OnEndingSignal(int aSignal) -> void
{
  const auto* name = sigabbrev_np(aSignal);
  WriteText("goldcrestcroft: ended by signal SIG");
  WriteText(name == nullptr ? "?" : name);
  WriteText("\n");
  // The default action is in effect again.
  std::raise(aSignal);
}

[[noreturn]] auto OnUnhandledException() -> void
{
  WriteText("goldcrestcroft: ended by an exception that was not handled: ");
  try {
    if (const auto problem = std::current_exception()) {
      std::rethrow_exception(problem);
    }
    WriteText("none is active");
  } catch (const std::exception& problem) {
    WriteText(problem.what());
  } catch (...) {
    WriteText("of another type");
  }
  WriteText("\n");
  std::signal(SIGABRT, SIG_DFL);
  std::abort();
}

} // namespace

auto ReportAbnormalEnds() -> void
{
  std::set_terminate(OnUnhandledException);
  struct sigaction action = {};
  action.sa_handler = OnEndingSignal;
  action.sa_flags = static_cast<int>(SA_RESETHAND);
  for (const auto signal : kReportedSignals) {
    sigaction(signal, &action, nullptr);
  }
}

} // namespace goldcrestcroft

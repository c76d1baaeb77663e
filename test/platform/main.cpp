#include "PlatformStandin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>

ABSL_FLAG(std::uint16_t, port, 7300,
          "port of the store on 127.0.0.1; engines use the ones after it");

/** Serves a stand-in of the users' platform until SIGTERM or SIGINT. */
auto main(int aCount, char** aArguments) -> int
{
  absl::ParseCommandLine(aCount, aArguments);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  const standins::PlatformStandin platform(
    { .firstPort_ = absl::GetFlag(FLAGS_port) });
  auto received = 0;
  sigwait(&signals, &received);
  return 0;
}

#pragma once

#include <chrono>
#include <csignal>
#include <ctime>
#include <initializer_list>

namespace goldcrestcroft {

/** \brief The signals that a server process handles. */
inline auto HandledSignals() -> sigset_t
{
  sigset_t signals;
  sigemptyset(&signals);
  for (const auto signal : { SIGTERM, SIGINT, SIGHUP }) {
    sigaddset(&signals, signal);
  }
  return signals;
}

/** \brief Blocks the handled signals in this thread and in threads that it
 * starts. */
inline auto BlockSignals() -> void
{
  const auto signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/** \brief Unblocks the handled signals in this thread, which then receives
 * pending ones. */
inline auto UnblockSignals() -> void
{
  const auto signals = HandledSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

/** \brief Waits for one of the signals that stop a server process, which must
 * be blocked. Returns false if none came within aTime. */
inline auto AwaitStopSignal(std::chrono::microseconds aTime) -> bool
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aTime);
  const timespec time{ .tv_sec = seconds.count(),
                       .tv_nsec =
                         std::chrono::nanoseconds(aTime - seconds).count() };
  return sigtimedwait(&signals, nullptr, &time) > 0;
}

/** \brief Ignores the signals that report a failed write to a pipe, socket or
 * file; the write itself fails in any case. */
inline auto IgnoreWriteSignals() -> void
{
  for (const auto signal : { SIGPIPE, SIGXFSZ }) {
    std::signal(signal, SIG_IGN);
  }
}

/** \brief Ignores signals that mean nothing to a server and whose default
 * action would end it. */
inline auto IgnoreUnusedSignals() -> void
{
  for (const auto signal :
       { SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGPWR }) {
    std::signal(signal, SIG_IGN);
  }
}

} // namespace goldcrestcroft

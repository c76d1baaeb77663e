#pragma once

#include <csignal>
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

/** \brief Ignores the signals that report a failed write to a pipe, socket or
 * file; the write itself fails in any case. */
inline auto IgnoreWriteSignals() -> void
{
  for (const auto signal : { SIGPIPE, SIGXFSZ }) {
    std::signal(signal, SIG_IGN);
  }
}

} // namespace goldcrestcroft

#pragma once

#include <csignal>
#include <initializer_list>

namespace goldcrestcroft {

/** \brief The signals that a serving process handles itself. */
inline auto HandledSignals() -> sigset_t
{
  sigset_t signals;
  sigemptyset(&signals);
  for (const auto signal : { SIGTERM, SIGINT, SIGHUP }) {
    sigaddset(&signals, signal);
  }
  return signals;
}

/** \brief Holds them back for this thread and those that it starts. */
inline auto BlockSignals() -> void
{
  const auto signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/** \brief Lets them, and what was held back, come to this thread. */
inline auto UnblockSignals() -> void
{
  const auto signals = HandledSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace goldcrestcroft

#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace testing {

/** \brief A child process of a test; the destructor kills it. */
class Process
{
public:
  Process() = default;
  Process(const std::string& aProgram, std::vector<std::string> aArguments,
          const std::string& aLog);
  ~Process();
  Process(Process&& aOther) noexcept;
  auto operator=(Process&& aOther) noexcept -> Process&;

  auto Signal(int aSignal) const -> void;
  /** \brief Sends SIGKILL and waits for the process to end. */
  auto Kill() -> void;
  /** \brief Waits for the process to end and returns its exit code, or the
   * negated signal number if a signal ended it. */
  auto Wait() -> int;
  [[nodiscard]] auto IsRunning() -> bool;
  /** \brief The exit code of a process that has ended, or the negated signal
   * number. */
  [[nodiscard]] auto ExitCode() const -> int { return exitCode_; }
  [[nodiscard]] auto Pid() const -> pid_t { return pid_; }

private:
  pid_t pid_ = -1;
  int exitCode_ = 0;
};

} // namespace testing

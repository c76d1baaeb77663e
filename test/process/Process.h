#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace testing {

/** \brief A child process of a test, killed with it. */
class Process
{
public:
  Process() = default;
  Process(const std::string& aProgram, std::vector<std::string> aWords,
          const std::string& aLog);
  ~Process();
  Process(Process&& aOther) noexcept;
  auto operator=(Process&& aOther) noexcept -> Process&;

  auto Signal(int aSignal) const -> void;
  /** \brief kill -9, and waits for the end. */
  auto Kill() -> void;
  /** \brief Waits for the end and gives the exit code; below 0 by a signal. */
  auto Wait() -> int;
  [[nodiscard]] auto IsRunning() -> bool;
  /** \brief Of a process that has ended; below 0 by a signal. */
  [[nodiscard]] auto ExitCode() const -> int { return exitCode_; }
  [[nodiscard]] auto Pid() const -> pid_t { return pid_; }

private:
  pid_t pid_ = -1;
  int exitCode_ = 0;
};

} // namespace testing

#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace testing {

/** \brief A child process of a test, killed with it. */
class Process
{
public:
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

private:
  pid_t pid_ = -1;
};

} // namespace testing

#include "Process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <utility>

namespace testing {

Process::Process(const std::string& aProgram,
                 std::vector<std::string> aArguments, const std::string& aLog)
{
  aArguments.insert(aArguments.begin(), aProgram);
  std::vector<char*> arguments;
  arguments.reserve(aArguments.size() + 1);
  for (auto& argument : aArguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  for (const auto descriptor : { 1, 2 }) {
    posix_spawn_file_actions_addopen(&files, descriptor, aLog.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
  }
  // Otherwise the child would keep sockets open after the test closed them.
  posix_spawn_file_actions_addclosefrom_np(&files, 3);
  if (posix_spawn(&pid_, aProgram.c_str(), &files, nullptr, arguments.data(),
                  environ) != 0) {
    pid_ = -1;
  }
  posix_spawn_file_actions_destroy(&files);
}

namespace {

auto ExitCodeOf(int aStatus) -> int
{
  return WIFEXITED(aStatus) ? WEXITSTATUS(aStatus) : -WTERMSIG(aStatus);
}

} // namespace

Process::Process(Process&& aOther) noexcept
  : pid_(std::exchange(aOther.pid_, -1))
  , exitCode_(aOther.exitCode_)
{
}

auto Process::operator=(Process&& aOther) noexcept -> Process&
{
  if (this != &aOther) {
    Kill();
    pid_ = std::exchange(aOther.pid_, -1);
    exitCode_ = aOther.exitCode_;
  }
  return *this;
}

Process::~Process()
{
  Kill();
}

auto Process::Signal(int aSignal) const -> void
{
  if (pid_ > 0) {
    kill(pid_, aSignal);
  }
}

auto Process::Kill() -> void
{
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    Wait();
  }
}

auto Process::Wait() -> int
{
  if (pid_ <= 0) {
    return -1;
  }
  auto status = 0;
  waitpid(std::exchange(pid_, -1), &status, 0);
  exitCode_ = ExitCodeOf(status);
  return exitCode_;
}

auto Process::IsRunning() -> bool
{
  if (pid_ <= 0) {
    return false;
  }
  auto status = 0;
  if (waitpid(pid_, &status, WNOHANG) == pid_) {
    pid_ = -1;
    exitCode_ = ExitCodeOf(status);
    return false;
  }
  return true;
}

} // namespace testing

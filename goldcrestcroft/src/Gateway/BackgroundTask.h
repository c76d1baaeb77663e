#pragma once

#include "Net.h"

#include <functional>

namespace goldcrestcroft {

/** \brief Completion handler of a detached task: logs the exception that ended
 * it, if any, under the task's name. */
class LogFailure
{
public:
  explicit LogFailure(const char* aTask)
    : task_(aTask)
  {
  }

  auto operator()(const std::exception_ptr& aFailure) const -> void;

private:
  const char* task_;
};

/** \brief Runs a task and restarts it, after a short delay, whenever an
 * exception ends it. */
auto KeepRunning(const char* aTask, std::function<Task<void>()> aMakeTask)
  -> Task<void>;

/** \brief Runs the event loop until it is stopped or has no more work;
 * exceptions that its handlers throw are logged under its name. */
auto RunLoop(const char* aLoop, asio::io_context& aContext) -> void;

} // namespace goldcrestcroft

#pragma once

#include "Net.h"

#include <functional>

namespace goldcrestcroft {

/** \brief Completion of a task that nobody waits for: an exception that ended
 * it is logged under the task's name. */
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

/** \brief A task that is made anew, after a short pause, whenever an exception
 * ends it. */
auto KeepRunning(const char* aTask, std::function<Task<void>()> aMake)
  -> Task<void>;

/** \brief Runs the loop until it is stopped; exceptions of its handlers are
 * logged under its name. */
auto RunLoop(const char* aLoop, asio::io_context& aContext) -> void;

} // namespace goldcrestcroft

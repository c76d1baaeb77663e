#include "BackgroundTask.h"

#include "../Observability/Log.h"

namespace goldcrestcroft {

namespace {

/** Delay before a failed task is restarted; keeps a persistent failure from
 * occupying a core. */
constexpr auto kRestartDelay = std::chrono::milliseconds{ 100 };

auto Describe(const std::exception_ptr& aFailure) -> std::string
{
  try {
    std::rethrow_exception(aFailure);
  } catch (const std::exception& problem) {
    return problem.what();
  } catch (...) {
    return "an exception of another type";
  }
}

} // namespace

auto LogFailure::operator()(const std::exception_ptr& aFailure) const -> void
{
  if (aFailure) {
    Log::Write(
      LogLevel::Error, "task_failed",
      { { "task", task_ },
        { "reason", Describe(aFailure) },
        { "remedy", "report this line; the host continues to serve" } });
  }
}

auto RunLoop(const char* aLoop, asio::io_context& aContext) -> void
{
  for (;;) {
    try {
      aContext.run();
      return;
    } catch (...) {
      LogFailure{ aLoop }(std::current_exception());
    }
  }
}

auto KeepRunning(const char* aTask, std::function<Task<void>()> aMakeTask)
  -> Task<void>
{
  const auto executor = co_await asio::this_coro::executor;
  for (;;) {
    std::exception_ptr failure;
    try {
      co_await aMakeTask();
    } catch (...) {
      failure = std::current_exception();
    }
    if (!failure) {
      co_return;
    }
    LogFailure{ aTask }(failure);
    asio::steady_timer timer(executor, kRestartDelay);
    co_await timer.async_wait(kAsTuple);
  }
}

} // namespace goldcrestcroft

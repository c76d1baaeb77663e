#include "BackgroundTask.h"

#include "../Observability/Log.h"

namespace goldcrestcroft {

namespace {

/** Before a task is made anew; keeps a lasting fault from filling a core. */
constexpr auto kPause = std::chrono::milliseconds{ 100 };

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
    Log::Write(LogLevel::Error, "task_failed",
               { { "task", task_ },
                 { "reason", Describe(aFailure) },
                 { "remedy", "report this line; the host serves on" } });
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

auto KeepRunning(const char* aTask, std::function<Task<void>()> aMake)
  -> Task<void>
{
  const auto executor = co_await asio::this_coro::executor;
  for (;;) {
    std::exception_ptr failure;
    try {
      co_await aMake();
    } catch (...) {
      failure = std::current_exception();
    }
    if (!failure) {
      co_return;
    }
    LogFailure{ aTask }(failure);
    asio::steady_timer pause(executor, kPause);
    co_await pause.async_wait(kAsTuple);
  }
}

} // namespace goldcrestcroft

#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/BackgroundTask.h>

namespace testing {

using namespace goldcrestcroft;

namespace {

auto FailTwice(int& aRuns) -> Task<void>
{
  if (++aRuns <= 2) {
    throw std::runtime_error("a fault of the test");
  }
  co_return;
}

} // namespace

TEST_CASE(
  "tasks: a task that an exception ended is restarted, and the loop continues")
{
  asio::io_context context(1);
  auto runs = 0;
  auto others = 0;
  asio::co_spawn(context, KeepRunning("test", [&] { return FailTwice(runs); }),
                 LogFailure{ "test" });
  asio::co_spawn(context, FailTwice(others), LogFailure{ "test" });
  context.run();
  CHECK(runs == 3);
  CHECK(others == 1);
}

TEST_CASE("tasks: a handler that throws does not end its loop")
{
  asio::io_context context(1);
  auto reached = false;
  asio::post(context, [] { throw std::runtime_error("a fault of the test"); });
  asio::post(context, [&] { reached = true; });
  RunLoop("test", context);
  CHECK(reached);
}

} // namespace testing

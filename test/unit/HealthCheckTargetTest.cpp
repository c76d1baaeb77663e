#include "StallableLoop.h"

#include <doctest/doctest.h>

namespace testing {

using namespace goldcrestcroft;
using namespace std::chrono_literals;

namespace {

/** The head of the request that a check of an engine's health sends. */
auto HeadOfHealthCheck(const std::string& aPath) -> std::string
{
  StallableLoop loop;
  EnginePool pool(loop.Context(), {});
  const EngineEntry entry{
    .id_ = "e", .service_ = "s", .address_ = loop.Address(), .startedAt_ = 5
  };
  pool.SetEngines(std::make_shared<const EngineList>(std::vector{ entry }));
  auto isDone = false;
  const auto check = [&]() -> Task<void> {
    co_await pool.IsResponding(pool.StateOf(entry), aPath, 2s);
    isDone = true;
  };
  asio::co_spawn(loop.Context(), check(), asio::detached);
  Tcp::socket engine(loop.Context());
  REQUIRE(loop.RunUntil([&] { return loop.TryAccept(engine); }));
  loop.RunUntil([&] { return engine.available() > 0; });
  std::string head(engine.available(), '\0');
  head.resize(engine.read_some(asio::buffer(head)));
  engine.close();
  CHECK(loop.RunUntil([&] { return isDone; }));
  return head;
}

} // namespace

TEST_CASE("the health path of a configuration ends its request line or becomes "
          "a field of its own")
{
  const std::map<std::string, std::string> targets{
    { "/health", "/health" },
    { "/a?b=c%20d&e", "/a?b=c%20d&e" },
    { "/h HTTP/1.1\r\nX-Injected: y", "/h%20HTTP/1.1%0D%0AX-Injected:%20y" },
    { "/h#part", "/h%23part" },
    { "/\xc3\xa4", "/%C3%A4" },
    { "health", "/health" }
  };
  for (const auto& each : targets) {
    const auto& path = each.first;
    CAPTURE(path);
    const auto head = HeadOfHealthCheck(path);
    CAPTURE(head);
    CHECK(head.starts_with("GET " + each.second + " HTTP/1.1\r\n"));
    CHECK(head.find("\r\nX-Injected") == std::string::npos);
  }
}

} // namespace testing

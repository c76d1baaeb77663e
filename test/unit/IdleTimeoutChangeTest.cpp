#include "StallableLoop.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

constexpr auto kTimeout = std::chrono::milliseconds{ 300 };
constexpr auto kRequest = "GET /x HTTP/1.1\r\nHost: try.example\r\n"
                          "Goldcrestcroft-Request-Id: a\r\n\r\n";

} // namespace

TEST_CASE("a caller that relies on a raised idle timeout is not disconnected "
          "at the old one")
{
  StallableLoop loop;
  StalledTraffic traffic(loop);
  traffic.SetLimits({ .idleTimeout_ = kTimeout });
  auto caller = traffic.AddCaller();
  loop.Poll();
  traffic.SetLimits({ .idleTimeout_ = kTimeout * 20 });
  StallableLoop::Stall(kTimeout);
  loop.Poll();
  asio::write(caller, asio::buffer(std::string(kRequest)));
  std::string response;
  CHECK(loop.RunUntil([&] {
    response += ReadWaiting(caller);
    return response.ends_with("}");
  }));
}

TEST_CASE("a caller that relies on an idle timeout that was lowered since is "
          "not disconnected")
{
  StallableLoop loop;
  StalledTraffic traffic(loop);
  traffic.SetLimits({ .idleTimeout_ = kTimeout * 20 });
  auto caller = traffic.AddCaller();
  loop.Poll();
  traffic.SetLimits({ .idleTimeout_ = kTimeout });
  StallableLoop::Stall(kTimeout);
  loop.Poll();
  asio::write(caller, asio::buffer(std::string(kRequest)));
  std::string response;
  CHECK(loop.RunUntil([&] {
    response += ReadWaiting(caller);
    return response.ends_with("}");
  }));
}

TEST_CASE("a caller that relies on an idle timeout in force between two "
          "changes is not disconnected")
{
  StallableLoop loop;
  StalledTraffic traffic(loop);
  traffic.SetLimits({ .idleTimeout_ = kTimeout });
  auto caller = traffic.AddCaller();
  loop.Poll();
  traffic.SetLimits({ .idleTimeout_ = kTimeout * 20 });
  traffic.SetLimits({ .idleTimeout_ = kTimeout });
  StallableLoop::Stall(kTimeout);
  loop.Poll();
  asio::write(caller, asio::buffer(std::string(kRequest)));
  std::string response;
  CHECK(loop.RunUntil([&] {
    response += ReadWaiting(caller);
    return response.ends_with("}");
  }));
}

} // namespace testing

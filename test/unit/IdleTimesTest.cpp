#include "LoopStall.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

constexpr auto kTime = std::chrono::milliseconds{ 300 };
constexpr auto kRequest = "GET /x HTTP/1.1\r\nHost: try.example\r\n"
                          "Goldcrestcroft-Request-Id: a\r\n\r\n";

} // namespace

TEST_CASE("a caller that goes by a raised idle time is not cut at the old one")
{
  LoopStall loop;
  StalledTraffic traffic(loop);
  traffic.SetLimits({ .idleTimeout_ = kTime });
  auto caller = traffic.AddCaller();
  loop.Poll();
  traffic.SetLimits({ .idleTimeout_ = kTime * 20 });
  LoopStall::StandStill(kTime);
  loop.Poll();
  asio::write(caller, asio::buffer(std::string(kRequest)));
  std::string answer;
  CHECK(loop.RunUntil([&] {
    answer += ReadWaiting(caller);
    return answer.ends_with("}");
  }));
}

TEST_CASE("a caller that goes by an idle time lowered since is not cut")
{
  LoopStall loop;
  StalledTraffic traffic(loop);
  traffic.SetLimits({ .idleTimeout_ = kTime * 20 });
  auto caller = traffic.AddCaller();
  loop.Poll();
  traffic.SetLimits({ .idleTimeout_ = kTime });
  LoopStall::StandStill(kTime);
  loop.Poll();
  asio::write(caller, asio::buffer(std::string(kRequest)));
  std::string answer;
  CHECK(loop.RunUntil([&] {
    answer += ReadWaiting(caller);
    return answer.ends_with("}");
  }));
}

TEST_CASE("a caller that goes by an idle time between two changes is not cut")
{
  LoopStall loop;
  StalledTraffic traffic(loop);
  traffic.SetLimits({ .idleTimeout_ = kTime });
  auto caller = traffic.AddCaller();
  loop.Poll();
  traffic.SetLimits({ .idleTimeout_ = kTime * 20 });
  traffic.SetLimits({ .idleTimeout_ = kTime });
  LoopStall::StandStill(kTime);
  loop.Poll();
  asio::write(caller, asio::buffer(std::string(kRequest)));
  std::string answer;
  CHECK(loop.RunUntil([&] {
    answer += ReadWaiting(caller);
    return answer.ends_with("}");
  }));
}

} // namespace testing

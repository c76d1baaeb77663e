#include "EndlessFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

constexpr auto kCallers = 100;

} // namespace

TEST_CASE(
  "endless streams to callers that do not read use up the host's memory")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  SetEndless(
    fleet, "model",
    EndlessBytes{ kStream, "data: " + std::string(4000, 'x') + "\n\n" });
  asio::io_context context;
  std::vector<Tcp::socket> callers;
  for (auto i = 0; i < kCallers; ++i) {
    const auto call = fleet.MakeCall("/once/stream/x");
    auto text = "GET " + call.target_ + " HTTP/1.1\r\n";
    for (const auto& [name, value] : call.headers_) {
      text += name + ": " + value + "\r\n";
    }
    callers.emplace_back(context);
    callers.back().connect(ParseTcpEndpoint(fleet.CallerAddress(0)));
    asio::write(callers.back(), asio::buffer(text + "\r\n"));
  }
  CHECK(EntryFleet::Await(
    [&] { return EndlessOpen(fleet, "model") >= kCallers / 2; }));
  for (auto i = 0; i < 4; ++i) {
    CHECK(fleet.Get(0, "/safe/x").status_ == 200);
  }
  CHECK(EntryFleet::Await([&] { return EndlessOpen(fleet, "model") == 0; }));
  CHECK(PeakMegabytes(fleet) < kHostMegabytes);
  CHECK(fleet.ProcessOf(0).IsRunning());
}

} // namespace testing

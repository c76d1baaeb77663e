#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

using Trouble = standins::EngineStandin::Trouble;

auto MakeResponse(const std::string& aStatus, const std::string& aFields,
                  const std::string& aBody) -> std::string
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aFields + "\r\n" + aBody;
}

/** Responses of the next engine to a stream that broke off after two events. */
auto Errors() -> std::vector<std::string>
{
  const std::string id = "Goldcrestcroft-Request-Id: @ID\r\n";
  const std::string seal = id + "Goldcrestcroft-Server-Seal: s\r\n";
  const std::string notRun = "Goldcrestcroft-Not-Executed: 1\r\n";
  const std::string short11 = "Content-Length: 11\r\n";
  const std::string event = "id: 3\ndata: engine-fail\n\n";
  const std::string length = std::to_string(event.size());
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  constexpr auto kChunk = "19\r\nid: 3\ndata: engine-fail\n\n\r\n0\r\n\r\n";
  return {
    MakeResponse("500 Failed", seal + short11, "engine-fail"),
    MakeResponse("503 Full", id + notRun + short11, "engine-full"),
    MakeResponse("500 Failed", seal, "engine-fail until the close"),
    MakeResponse("502 Failed", id + chunked, kChunk),
    MakeResponse("200 OK", id + "Content-Length: " + length + "\r\n", event),
    MakeResponse("400 Bad", notRun + short11, "engine-fail"),
    MakeResponse("307 Elsewhere", id + "Location: /x\r\nContent-Length: 0\r\n",
                 ""),
    MakeResponse("500 Failed", seal + "Content-Length: 100\r\n", "engine-fail"),
    event,
    "HTTP/1.1 500"
  };
}

} // namespace

TEST_CASE(
  "an error of the next engine neither gets into a stream that broke off "
  "nor ends it as if it were complete")
{
  for (const auto& error : Errors()) {
    EntryFleet fleet(1);
    REQUIRE(fleet.AwaitReady(0));
    for (const auto& engine : fleet.Platform().Engines("model")) {
      engine->trouble_ = Trouble::Truncates;
      engine->SetRawResumption(error);
    }
    const auto answer = fleet.Get(0, "/stream/x");
    CAPTURE(error);
    CAPTURE(answer.body_);
    std::size_t resumed = 0;
    for (const auto& engine : fleet.Platform().Engines("model")) {
      resumed += engine->Resumed();
    }
    CHECK(resumed == 1);
    CHECK(answer.status_ == 200);
    CHECK_FALSE(answer.whole_);
    const auto event = "\ndata: " + fleet.LastId() + "\n\n";
    CHECK(answer.body_ == "id: 1" + event + "id: 2" + event);
    CHECK(CountOf(fleet.Log(0), "\"outcome\":\"stream_broken\"") == 1);
  }
}

} // namespace testing

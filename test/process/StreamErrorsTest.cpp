#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

using Trouble = standins::EngineStandin::Trouble;

/** What the next engine answers a stream that broke off after two events. */
const std::vector<std::string> kErrors = {
  "HTTP/1.1 500 Internal Server Error\r\nGoldcrestcroft-Request-Id: @ID\r\n"
  "Goldcrestcroft-Server-Seal: s\r\nContent-Length: 11\r\n\r\nengine-fail",
  "HTTP/1.1 503 Service Unavailable\r\nGoldcrestcroft-Request-Id: @ID\r\n"
  "Goldcrestcroft-Not-Executed: 1\r\nContent-Length: 11\r\n\r\nengine-full",
  "HTTP/1.1 500 Internal Server Error\r\nGoldcrestcroft-Request-Id: @ID\r\n"
  "Goldcrestcroft-Server-Seal: s\r\n\r\nengine-fail until the close",
  "HTTP/1.1 502 Bad Gateway\r\nGoldcrestcroft-Request-Id: @ID\r\n"
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
  "1c\r\nid: 3\ndata: engine-fail\n\n.\n\n\r\n0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nGoldcrestcroft-Request-Id: @ID\r\nContent-Length: 27\r\n"
  "\r\nid: 3\ndata: engine-fail\n\n.\n",
  "HTTP/1.1 400 Bad Request\r\nGoldcrestcroft-Not-Executed: 1\r\n"
  "Content-Length: 11\r\n\r\nengine-fail",
  "HTTP/1.1 307 Temporary Redirect\r\nGoldcrestcroft-Request-Id: @ID\r\n"
  "Location: /engine-fail\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 500 Internal Server Error\r\nGoldcrestcroft-Request-Id: @ID\r\n"
  "Goldcrestcroft-Server-Seal: s\r\nContent-Length: 100\r\n\r\nengine-fail",
  "id: 3\ndata: engine-fail\n\n",
  "HTTP/1.1 500"
};

} // namespace

TEST_CASE("the error of the next engine gets into a stream that broke off, or "
          "ends it as if it were whole")
{
  for (const auto& error : kErrors) {
    EntryFleet fleet(1);
    REQUIRE(fleet.AwaitReady(0));
    for (const auto& engine : fleet.Platform().Engines("model")) {
      engine->trouble_ = Trouble::Cuts;
      engine->SetResumed(error);
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

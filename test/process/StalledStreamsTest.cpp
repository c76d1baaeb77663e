#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

const std::string kBegin = "HTTP/1.1 200 OK\r\n"
                           "Goldcrestcroft-Request-Id: @ID\r\n"
                           "Goldcrestcroft-Server-Seal: s\r\n"
                           "Content-Type: text/event-stream\r\n\r\n"
                           "id: 1\ndata: @ID\n\n";

/** \brief Requests a stream with the longest deadline that the route allows. */
auto GetStream(EntryFleet& aFleet, const std::string& aTarget) -> CallerResponse
{
  return aFleet.Call(
    0, { .target_ = aTarget,
         .headers_ = { { "Goldcrestcroft-Deadline-Ms", "3000" } } });
}

} // namespace

TEST_CASE(
  "a stream that stalls continues on another engine, even if its engine "
  "sends bytes without events")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  for (const std::string bytes : { ":\n\n", "\n", "event: ping\n\n" }) {
    CAPTURE(bytes);
    fleet.Platform().Engines("model")[0]->SetEndless(
      standins::EndlessBytes{ .begin_ = kBegin,
                              .unit_ = bytes,
                              .pause_ = std::chrono::milliseconds{ 100 } });
    for (auto i = 0; i < 2; ++i) {
      const auto stream = GetStream(fleet, "/stream/x");
      CHECK(stream.status_ == 200);
      CHECK(stream.whole_);
      CHECK(CountOf(stream.body_, "data: " + fleet.LastId()) == 6);
    }
  }
}

TEST_CASE(
  "a stream leaves an engine that keeps sending bytes without events: these "
  "do not count as progress")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  fleet.Platform().Engines("model")[0]->SetEndless(
    standins::EndlessBytes{ .begin_ = kBegin,
                            .unit_ = ":\n\n",
                            .pause_ = std::chrono::milliseconds{ 2 } });
  for (auto i = 0; i < 2; ++i) {
    const auto stream = GetStream(fleet, "/stream/x");
    CHECK(stream.whole_);
    CHECK(CountOf(stream.body_, "data: " + fleet.LastId()) == 6);
  }
}

TEST_CASE("a slow stream that makes progress is not cut")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  for (const auto& engine : fleet.Platform().Engines("model")) {
    engine->pauseMs_ = 300;
  }
  for (const auto* target : { "/stream/x", "/once/stream/x" }) {
    const auto stream = GetStream(fleet, target);
    CHECK(stream.status_ == 200);
    CHECK(stream.whole_);
    CHECK(fleet.RunsOf("model", fleet.LastId()) == 1);
  }
}

} // namespace testing

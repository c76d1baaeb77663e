#include "RawFleet.h"

namespace testing {

namespace {

using namespace std::chrono_literals;
using standins::RawEnd;

constexpr auto kEventsOfStream = 6;

const std::vector<std::string> kNoEvents{ "", ": a comment\n\n", "\n",
                                          "retry: 100\n\n" };

} // namespace

TEST_CASE("a stream without a length that ends before its first event is not "
          "delivered as complete")
{
  for (const auto* target : { "/stream/x", "/once/stream/x" }) {
    for (const auto pause : { 0ms, 40ms }) {
      RawFleet fleet;
      for (const auto& part : kNoEvents) {
        CAPTURE(target);
        CAPTURE(part);
        fleet.RespondWith(kHead + "\r\n" + part, RawEnd::Closes, pause);
        CHECK_FALSE(IsComplete(fleet.Fleet().Get(0, target)));
      }
    }
  }
}

TEST_CASE(
  "a stream whose engine ends before its first event resumes at another")
{
  for (const auto& part : kNoEvents) {
    CAPTURE(part);
    RawFleet fleet;
    auto& engine = *fleet.Fleet().Platform().Engines("model")[0];
    engine.SetRawResponse(kHead + "\r\n" + part);
    for (auto i = 0; i < 4; ++i) {
      const auto stream = fleet.Fleet().Get(0, "/stream/x");
      CHECK(IsComplete(stream));
      CHECK(CountOf(stream.body_, "data: " + fleet.Fleet().LastId()) ==
            kEventsOfStream);
    }
  }
}

TEST_CASE(
  "a resumed stream without a length that ends before its next event is "
  "not delivered as complete")
{
  for (const auto& part : kNoEvents) {
    CAPTURE(part);
    RawFleet fleet;
    fleet.RespondWith(kHead + "\r\n" + kEvent + "id: 2\nda");
    std::size_t resumed = 0;
    for (const auto& engine : fleet.Fleet().Platform().Engines("model")) {
      engine->SetRawResumption(kHead + "\r\n" + part);
    }
    const auto stream = fleet.Fleet().Get(0, "/stream/x");
    CHECK_FALSE(IsComplete(stream));
    CHECK(CountOf(stream.body_, "data: ") == 1);
    for (const auto& engine : fleet.Fleet().Platform().Engines("model")) {
      resumed += engine->Resumed();
    }
    CHECK(resumed > 0);
  }
}

TEST_CASE("a response without a length is not delivered as complete if its "
          "engine exits with it")
{
  for (const auto pause : { 0ms, 40ms }) {
    for (const auto* target : { "/stream/x", "/once/stream/x", "/safe/x" }) {
      CAPTURE(target);
      RawFleet fleet;
      // Connections to the engines that stay idle.
      REQUIRE(IsComplete(fleet.Fleet().Get(0, target)));
      fleet.RespondWith(kHead + "\r\n" + kEvent + kSecondEvent, RawEnd::Exits,
                        pause);
      CHECK_FALSE(IsComplete(fleet.Fleet().Get(0, target)));
    }
    RawFleet fleet;
    fleet.RespondWith(kHead + "\r\n" + kEvent, RawEnd::Exits, pause);
    CHECK(fleet.Fleet()
            .Call(0, { .method_ = "POST", .target_ = "/unsafe/x" })
            .status_ == 502);
    CHECK(fleet.Fleet().RunsOf("desk", fleet.Fleet().LastId()) == 1);
  }
}

TEST_CASE(
  "a failure without a length is not delivered as complete if its engine "
  "exits with it")
{
  RawFleet fleet;
  fleet.RespondWith("HTTP/1.1 500 Error\r\nGoldcrestcroft-Request-Id: @ID\r\n"
                    "Goldcrestcroft-Server-Seal: s\r\n\r\nan err",
                    RawEnd::Exits);
  CHECK(fleet.Fleet()
          .Call(0, { .method_ = "POST", .target_ = "/unsafe/x" })
          .status_ == 502);
}

TEST_CASE("a stream without a length whose draining engine exits between two "
          "events is not delivered as complete")
{
  for (const auto pause : { 0ms, 40ms }) {
    RawFleet fleet;
    fleet.ForEachEngine([](auto& aEngine) {
      aEngine.SetRawResumption(kHead + "\r\n" + kSecondEvent);
    });
    fleet.RespondWith(kHead + "Server-Leaving: 1\r\n\r\n" + kEvent,
                      RawEnd::Exits, pause);
    const auto stream = fleet.Fleet().Get(0, "/stream/x");
    CHECK(IsComplete(stream));
    CHECK(CountOf(stream.body_, "data: ") == 2);
  }
}

TEST_CASE("a stream of a draining engine that exits after its last event is "
          "delivered as complete")
{
  RawFleet fleet;
  fleet.ForEachEngine([](auto& aEngine) {
    aEngine.SetRawResumption(kHead + "Content-Length: 0\r\n\r\n");
  });
  fleet.RespondWith(kHead + "Server-Leaving: 1\r\n\r\n" + kEvent + kSecondEvent,
                    RawEnd::Exits);
  const auto stream = fleet.Fleet().Get(0, "/stream/x");
  CHECK(IsComplete(stream));
  CHECK(CountOf(stream.body_, "data: ") == 2);
}

TEST_CASE(
  "a stream without a length whose draining engine exits is cut off, not "
  "ended, if no other engine can tell what follows")
{
  RawFleet fleet;
  auto& platform = fleet.Fleet().Platform();
  for (std::size_t i = 1; i < platform.Engines("model").size(); ++i) {
    platform.Store().Remove("servers", platform.Engines("model")[i]->Id());
  }
  fleet.RespondWith(kHead + "Server-Leaving: 1\r\n\r\n" + kEvent + kSecondEvent,
                    RawEnd::Exits);
  CHECK(EntryFleet::Await([&] {
    const auto stream = fleet.Fleet().Get(0, "/stream/x");
    CHECK_FALSE(IsComplete(stream));
    return CountOf(stream.body_, "data: ") == 2;
  }));
}

TEST_CASE("the last response of a draining engine, which cannot be resumed, is "
          "not taken for broken off")
{
  for (const auto* target : { "/once/stream/x", "/safe/x" }) {
    CAPTURE(target);
    RawFleet fleet;
    fleet.RespondWith(kHead + "Server-Leaving: 1\r\n\r\n" + kEvent +
                        kSecondEvent,
                      RawEnd::Exits);
    const auto response = fleet.Fleet().Get(0, target);
    CHECK(IsComplete(response));
    CHECK(CountOf(response.body_, "data: ") == 2);
  }
}

TEST_CASE(
  "an engine at its connection limit does not make its response without "
  "a length look broken off")
{
  for (const auto* target : { "/stream/x", "/once/stream/x", "/safe/x" }) {
    CAPTURE(target);
    RawFleet fleet;
    fleet.RespondWith(kHead + "\r\n" + kEvent + kSecondEvent, RawEnd::Closes,
                      100ms);
    for (const auto* service : { "desk", "model" }) {
      for (const auto& engine : fleet.Fleet().Platform().Engines(service)) {
        engine->SetMaxConnections(1);
      }
    }
    CHECK(IsComplete(fleet.Fleet().Get(0, target)));
  }
}

} // namespace testing

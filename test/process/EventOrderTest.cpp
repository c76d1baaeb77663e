#include "RawFleet.h"

namespace testing {

namespace {

auto EventsFrom(int aFirst, int aLast) -> std::string
{
  std::string events;
  for (auto id = aFirst; id <= aLast; ++id) {
    events += "id: " + std::to_string(id) + "\ndata: x\n\n";
  }
  return events;
}

} // namespace

TEST_CASE("a stream does not go back when its engine repeats events")
{
  for (const auto& again : { EventsFrom(1, 4), EventsFrom(2, 4),
                             std::string("id: 002\ndata: x\n\n"),
                             "id: 0\ndata: x\n\n" + EventsFrom(3, 4) }) {
    CAPTURE(again);
    RawFleet fleet;
    fleet.ForEachEngine([](auto& aEngine) {
      aEngine.SetRawResumption(kHead + "\r\n" + EventsFrom(3, 4));
    });
    fleet.RespondWith(kHead + "\r\n" + EventsFrom(1, 2) + again);
    const auto stream = fleet.Fleet().Get(0, "/stream/x");
    CAPTURE(stream.body_);
    CHECK(IsComplete(stream));
    CHECK(stream.body_ == EventsFrom(1, 4));
  }
}

TEST_CASE("a stream that is resumed at an engine that begins it anew does not "
          "go back")
{
  RawFleet fleet;
  fleet.ForEachEngine([](auto& aEngine) {
    aEngine.SetRawResumption(kHead + "\r\n" + EventsFrom(1, 6));
  });
  fleet.RespondWith(kHead + "\r\n" + EventsFrom(1, 3) + "id: 4\nda");
  const auto stream = fleet.Fleet().Get(0, "/stream/x");
  CAPTURE(stream.body_);
  CHECK_FALSE(IsComplete(stream));
  CHECK(stream.body_ == EventsFrom(1, 3));
}

TEST_CASE("a client that takes a stream up gets no event again")
{
  RawFleet fleet;
  for (const auto first : { 1, 2, 3 }) {
    CAPTURE(first);
    fleet.ForEachEngine([&](auto& aEngine) {
      aEngine.SetRawResumption(kHead + "\r\n" + EventsFrom(first, 6));
    });
    const auto rest = fleet.Fleet().Call(
      0, { .target_ = "/stream/x",
           .headers_ = { { "Last-Event-Id", "3" }, { "Resumes", "r" } } });
    CAPTURE(rest.body_);
    CHECK(rest.status_ == 502);
    CHECK(rest.body_.find("data: ") == std::string::npos);
  }
  fleet.ForEachEngine([&](auto& aEngine) {
    aEngine.SetRawResumption(kHead + "\r\n" + EventsFrom(4, 6));
  });
  CHECK(
    fleet.Fleet()
      .Call(0, { .target_ = "/stream/x",
                 .headers_ = { { "Last-Event-Id", "3" }, { "Resumes", "r" } } })
      .body_ == EventsFrom(4, 6));
}

TEST_CASE("a stream that may not be resumed is cut off before an event that "
          "comes again")
{
  RawFleet fleet;
  fleet.RespondWith(kHead + "\r\n" + EventsFrom(1, 3) + EventsFrom(3, 5));
  const auto stream = fleet.Fleet().Get(0, "/once/stream/x");
  CAPTURE(stream.body_);
  CHECK_FALSE(IsComplete(stream));
  CHECK(stream.body_ == EventsFrom(1, 3));
}

TEST_CASE("events whose ids are no numbers, or that have none, are forwarded")
{
  for (const auto& events :
       { std::string("id: b\ndata: x\n\nid: a\ndata: x\n\n"),
         std::string("data: x\n\ndata: x\n\n"),
         std::string("id: 1\ndata: x\n\ndata: x\n\nid: 2\ndata: x\n\n"),
         std::string("id: 1\ndata: x\n\nid: 1\n\nid: 2\ndata: x\n\n"),
         std::string("id: 9\ndata: x\n\nid: 10\ndata: x\n\n") }) {
    CAPTURE(events);
    RawFleet fleet;
    for (const auto* target : { "/stream/x", "/once/stream/x" }) {
      const auto stream = fleet.Get(target, kHead + "\r\n" + events);
      CHECK(IsComplete(stream));
      CHECK(stream.body_ == events);
    }
  }
}

} // namespace testing

#include "RawFleet.h"

namespace testing {

namespace {

/** Three digits that are no status code (RFC 9110, section 15). */
const std::vector<std::string> kNoStatus{ "000", "001", "099",
                                          "600", "700", "999" };
/** What an engine says of itself in the head of a response. */
const std::string kAdvertised = "Server-Leaving: 1\r\n"
                                "Server-Limit: 0.01\r\n"
                                "Retry-After: 60\r\n"
                                "Goldcrestcroft-Server-Load: 8,900,8\r\n";

/** The calls that a host passes on to an engine, of each kind. */
auto Calls() -> std::vector<CallerCall>
{
  return { { .target_ = "/safe/x" },
           { .method_ = "HEAD", .target_ = "/safe/x" },
           { .method_ = "POST", .target_ = "/unsafe/x" },
           { .target_ = "/stream/x" },
           { .target_ = "/once/stream/x" } };
}

auto StatusLine(const std::string& aStatus) -> std::string
{
  return "HTTP/1.1 " + aStatus + " Trouble\r\n";
}

/** Each call fails as if its engine had broken off, which promises nothing. */
auto CheckTakenForBroken(const std::string& aBytes) -> void
{
  RawFleet fleet;
  fleet.RespondWith(aBytes);
  for (const auto& call : Calls()) {
    CAPTURE(aBytes);
    CAPTURE(call.method_ + call.target_);
    CHECK(fleet.Fleet().Call(0, call).status_ == 502);
    const auto once =
      call.method_ == "POST" || call.target_ == "/once/stream/x";
    CHECK((!once || fleet.RunsOfLast() == 1));
  }
}

} // namespace

TEST_CASE("a response whose status is no status code is not passed on")
{
  for (const auto& status : kNoStatus) {
    const auto head = StatusLine(status) + kSignedFields;
    CheckTakenForBroken(head + "Content-Length: 2\r\n\r\nno");
    CheckTakenForBroken(head + "\r\n" + kEvent);
  }
}

TEST_CASE("a response whose status is no status code does not state that the "
          "request was not run")
{
  for (const auto& status : kNoStatus) {
    CheckTakenForBroken(StatusLine(status) + kSignedFields +
                        "Goldcrestcroft-Not-Executed: 1\r\n"
                        "Content-Length: 0\r\n\r\n");
  }
}

TEST_CASE("a response whose status is no status code is not skipped as one to "
          "another request")
{
  const auto valid = kHead + "Content-Length: 2\r\n\r\nok";
  for (const auto& status : kNoStatus) {
    for (const auto* id : { "", "Goldcrestcroft-Request-Id: another\r\n" }) {
      CheckTakenForBroken(StatusLine(status) + id +
                          "Content-Length: 2\r\n\r\nno" + valid);
    }
  }
}

TEST_CASE("what a response whose status is no status code says of its engine "
          "is ignored")
{
  for (const auto& status : { kNoStatus.front(), kNoStatus.back() }) {
    RawFleet fleet;
    fleet.RespondWith(StatusLine(status) + kSignedFields + kAdvertised +
                      "Content-Length: 2\r\n\r\nno");
    for (const auto& call : Calls()) {
      CHECK(fleet.Fleet().Call(0, call).status_ == 502);
    }
    for (const auto& engine : fleet.Fleet().Platform().Engines("cutter")) {
      engine->SetRawResponse(StatusLine(status) + kAdvertised + "\r\n");
    }
    CHECK_FALSE(IsComplete(fleet.Fleet().Get(0, "/stream/x")));
    const auto log = fleet.Fleet().Log(0);
    fleet.RespondWith(std::nullopt);
    CHECK(CountOf(log, "\"engine_leaving\"") == 0);
    CHECK(CountOf(log, "\"engine_limit_heard\"") == 0);
    CHECK(CountOf(log, "\"engine_asks_pause\"") == 0);
    // Engines that failed may be ejected, but for less time than kAdvertised
    // asks for.
    for (const auto* target : { "/safe/x", "/once/stream/x" }) {
      CHECK(EntryFleet::Await(
        [&] { return IsComplete(fleet.Fleet().Get(0, target)); }));
    }
  }
}

TEST_CASE("an idempotent request whose response has no status code is retried "
          "at another engine")
{
  for (const auto& status : kNoStatus) {
    CAPTURE(status);
    RawFleet fleet;
    for (const auto* service : { "desk", "model" }) {
      fleet.Fleet().Platform().Engines(service)[0]->SetRawResponse(
        StatusLine(status) + kSignedFields + "Content-Length: 2\r\n\r\nno");
    }
    for (auto i = 0; i < 4; ++i) {
      CHECK(IsComplete(fleet.Fleet().Get(0, "/safe/x")));
      CHECK(IsComplete(fleet.Fleet().Get(0, "/stream/x")));
    }
  }
}

TEST_CASE("a stream is not resumed by a response whose status is no status "
          "code")
{
  for (const auto& status : kNoStatus) {
    CAPTURE(status);
    RawFleet fleet;
    fleet.RespondWith(kHead + "\r\n" + kEvent + "id: 2\nda");
    fleet.ForEachEngine([&](auto& aEngine) {
      aEngine.SetRawResumption(StatusLine(status) + kSignedFields + "\r\n" +
                               kEvent);
    });
    const auto stream = fleet.Fleet().Get(0, "/stream/x");
    CHECK_FALSE(IsComplete(stream));
    CHECK(CountOf(stream.body_, "data: ") == 1);
  }
}

TEST_CASE("a stage call whose response has no status code does not count as "
          "produced")
{
  CHECK(IsResultUsed(StatusLine("200") + kStageLength + "\r\n" + kStageBody));
  for (const auto& status : kNoStatus) {
    CAPTURE(status);
    CHECK_FALSE(IsResultUsed(StatusLine(status) + kAdvertised + kStageLength +
                             "\r\n" + kStageBody));
  }
}

} // namespace testing

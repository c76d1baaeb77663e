#include "RawFleet.h"

namespace testing {

namespace {

/** Lines of a head that are no fields (RFC 9112, section 5). */
const std::vector<std::string> kNoFields{
  "X bad: 1",     "X\tbad: 1",    "X-Bad : 1",
  "X-Bad\t: 1",   "X\x01: 1",     "X\x7f: 1",
  "X\x80: 1",     ": 1",          "X-Bad",
  "X\rBad: 1",    "X(Bad): 1",    "Content-Length : 2",
  "X-Bad: a\x01", "X-Bad: a\x7f", std::string("X\0: 1", 5),
};

/** Responses with the line in a head or a trailer. */
auto ResponsesWith(const std::string& aLine) -> std::vector<std::string>
{
  const auto bad = aLine + "\r\n";
  const auto length = std::string("Content-Length: 6\r\n");
  const auto body = std::string("\r\nno\r\n\r\n");
  const auto failure = "HTTP/1.1 500 Error\r\n" + kSignedFields;
  return { kHead + length + bad + body,
           kHead + bad + length + body,
           kHead + bad + "\r\n" + kEvent,
           "HTTP/1.1 200 OK\r\n" + bad + kSignedFields + length + body,
           "HTTP/1.1 200 OK\r\n " + bad + kSignedFields + length + body,
           failure + bad + length + body,
           "HTTP/1.1 103 Early Hints\r\n" + bad + "\r\n" + kHead + length +
             body,
           kHead + "Transfer-Encoding: chunked\r\n\r\n6\r\n: no\n\n\r\n0\r\n" +
             bad + "\r\n" };
}

} // namespace

TEST_CASE("a response with a blank or a control character in the name of a "
          "field is not passed on")
{
  for (const auto& line : kNoFields) {
    CAPTURE(line);
    RawFleet fleet;
    for (const auto& response : ResponsesWith(line)) {
      CAPTURE(response);
      fleet.RespondWith(response);
      const auto failed =
        fleet.Fleet().Call(0, { .method_ = "POST", .target_ = "/unsafe/x" });
      CHECK(failed.status_ == 502);
      CHECK(fleet.RunsOfLast() == 1);
      CHECK(failed.body_.find("no\r\n") == std::string::npos);
      CHECK_FALSE(IsComplete(fleet.Fleet().Get(0, "/once/stream/x")));
      // Successes, so that no engine is ejected.
      fleet.RespondWith(std::nullopt);
      for (auto i = 0; i < 2; ++i) {
        EntryFleet::Await(
          [&] { return IsComplete(fleet.Fleet().Get(0, "/safe/x")); });
        EntryFleet::Await(
          [&] { return IsComplete(fleet.Fleet().Get(0, "/once/stream/x")); });
      }
    }
  }
}

TEST_CASE("a stage call whose response has a malformed field does not count as "
          "produced")
{
  for (const auto& line : kNoFields) {
    CAPTURE(line);
    CHECK_FALSE(IsResultUsed("HTTP/1.1 200 OK\r\n" + line + "\r\n" +
                             kStageLength + "\r\n" + kStageBody));
  }
}

} // namespace testing

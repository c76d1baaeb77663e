#include "RawFleet.h"

namespace testing {

namespace {

const std::string kChunks = "2\r\nok\r\n0\r\n\r\n";

/** Fields that apply a coding to the body which the caller cannot know of. */
const std::vector<std::string> kCodings{
  "Transfer-Encoding: chunked, gzip\r\n",
  "Transfer-Encoding: gzip, chunked\r\n",
  "Transfer-Encoding: gzip\r\n",
  "Transfer-Encoding: gzip\r\nContent-Length: 12\r\n",
  "Content-Length: 12\r\nTransfer-Encoding: gzip\r\n",
  "Transfer-Encoding: identity\r\n",
  "Transfer-Encoding: chunked, chunked\r\n",
  "Transfer-Encoding: chunked;a=b\r\n",
  "Transfer-Encoding: \r\nContent-Length: 12\r\n",
  "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
  "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
  "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"
};

/** Fields that do not say where the body ends. */
const std::vector<std::string> kLengths{
  "Content-Length: 6\r\nContent-Length: 2\r\n",
  "Content-Length: 2\r\nContent-Length: 6\r\n",
  "Content-Length: 2, 6\r\n",
  "Content-Length: 2x\r\n",
  "Content-Length: +2\r\n",
  "Content-Length: -2\r\n",
  "Content-Length: \r\n",
  "Content-Length: 18446744073709551618\r\n",
  "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n",
  "Transfer-Encoding: chunked\r\nContent-Length: 12\r\n"
};

} // namespace

TEST_CASE("a response whose length is ambiguous is not passed on")
{
  for (const auto& length : kLengths) {
    CAPTURE(length);
    RawFleet fleet;
    fleet.RespondWith(kHead + length + "\r\n" + kChunks);
    CHECK(fleet.Fleet().Get(0, "/safe/x").status_ == 502);
    CHECK(fleet.Fleet().Get(0, "/once/stream/x").status_ == 502);
  }
}

TEST_CASE("a response in a transfer coding other than chunked is not passed on "
          "as the engine's body")
{
  for (const auto& coding : kCodings) {
    CAPTURE(coding);
    RawFleet fleet;
    const auto plain = kHead + coding + "\r\n" + kChunks;
    fleet.RespondWith(plain);
    for (const auto& call : std::vector<CallerCall>{
           { .target_ = "/safe/x" },
           { .method_ = "HEAD", .target_ = "/safe/x" },
           { .method_ = "POST", .target_ = "/unsafe/x" } }) {
      CAPTURE(call.method_ + call.target_);
      CHECK(fleet.Fleet().Call(0, call).status_ == 502);
      CHECK((call.method_ != "POST" || fleet.RunsOfLast() == 1));
    }
    for (const auto* target : { "/stream/x", "/once/stream/x" }) {
      CHECK(fleet.Get(target, kHead + coding + "\r\n" + kEvent).status_ == 502);
    }
  }
}

TEST_CASE("a chunked response is passed on however its coding is spelled")
{
  RawFleet fleet;
  for (const auto* coding :
       { "chunked", "Chunked", " chunked ", "chunked,", ", chunked" }) {
    CAPTURE(coding);
    const auto response = fleet.Get(
      "/safe/x", kHead + "Transfer-Encoding: " + coding + "\r\n\r\n" + kChunks);
    CHECK(IsComplete(response));
    CHECK(response.body_ == "ok");
  }
}

TEST_CASE("a stage call whose response is in a transfer coding other than "
          "chunked does not count as produced")
{
  for (const auto* fields :
       { "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n" }) {
    CAPTURE(fields);
    CHECK_FALSE(IsResultUsed("HTTP/1.1 200 OK\r\n" + std::string(fields) +
                             kStageLength + "\r\n" + kStageBody));
    CHECK_FALSE(IsResultUsed("HTTP/1.1 200 OK\r\n" + std::string(fields) +
                             "\r\n" + kStageBody));
  }
}

} // namespace testing

#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\n"
                          "Goldcrestcroft-Request-Id: @ID\r\n"
                          "Goldcrestcroft-Server-Seal: s\r\n";

struct TruncatedCall
{
  std::string method_;
  std::string target_;
};

auto EndOf(bool aResets) -> standins::RawEnd
{
  return aResets ? standins::RawEnd::Resets : standins::RawEnd::Closes;
}

/** Sends calls of each kind while all engines respond with only these bytes.
 * No response may look complete to the caller. */
auto CheckNeverComplete(const std::string& aBytes, bool aResets) -> void
{
  CAPTURE(aBytes);
  CAPTURE(aResets);
  // Several engines, since one that fails repeatedly is ejected for a while.
  EntryFleet fleet(1, { .enginesPerService_ = 4 });
  REQUIRE(fleet.AwaitReady(0));
  // A first request, so that idle connections are covered as well.
  REQUIRE(fleet.Get(0, "/safe/x").status_ == 200);
  for (const auto* service : { "desk", "model" }) {
    for (const auto& engine : fleet.Platform().Engines(service)) {
      engine->SetRawResponse(aBytes, EndOf(aResets));
    }
  }
  const std::vector<TruncatedCall> calls{ { "GET", "/safe/x" },
                                          { "HEAD", "/safe/x" },
                                          { "POST", "/unsafe/x" },
                                          { "GET", "/stream/x" },
                                          { "GET", "/once/stream/x" } };
  const auto last = aBytes.rfind("HTTP/1.1");
  const auto endsHead = last != std::string::npos &&
                        aBytes.find("\r\n\r\n", last) != std::string::npos;
  for (const auto& call : calls) {
    // A response to HEAD ends with its head.
    if (call.method_ == "HEAD" && endsHead) {
      continue;
    }
    CAPTURE(call.method_ + call.target_);
    const auto response =
      fleet.Call(0, { .method_ = call.method_, .target_ = call.target_ });
    CAPTURE(response.status_);
    CHECK_FALSE((response.status_ == 200 && response.whole_));
    CHECK((response.status_ == 502 || response.status_ == 200));
    const auto once = call.target_ != "/safe/x" && call.target_ != "/stream/x";
    const auto service =
      call.target_.find("stream") == std::string::npos ? "desk" : "model";
    CHECK((!once || fleet.RunsOf(service, fleet.LastId()) <= 1));
  }
}

} // namespace

TEST_CASE("a response truncated in its head is never delivered as complete")
{
  const std::vector<std::string> before{
    "", "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 200 OK\r\nGoldcrestcroft-Request-Id: another\r\n"
    "Content-Length: 2\r\n\r\nno"
  };
  const auto head = kHead + "Content-Length: 1\r\n";
  for (const auto& begin : before) {
    const auto step = begin.empty() ? 13U : 50U;
    for (std::size_t size = 0; size <= head.size(); size += step) {
      CheckNeverComplete(begin + head.substr(0, size), size % 2 == 0);
    }
    CheckNeverComplete(begin + head, begin.empty());
  }
}

TEST_CASE("a response truncated in its body is never delivered as complete")
{
  const std::string event = "id: 1\ndata: @ID\n\n";
  const std::vector<std::string> truncated{
    // Fewer bytes than the content length.
    kHead + "Content-Length: 400\r\n\r\n",
    kHead + "Content-Length: 400\r\n\r\n" + event,
    // Chunks truncated before the size, the data, their end or the last chunk.
    kHead + "Transfer-Encoding: chunked\r\n\r\n",
    kHead + "Transfer-Encoding: chunked\r\n\r\n5",
    kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\n",
    kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\n: a",
    kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\n: a\n\n",
    kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\n: a\n\n\r\n",
    kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\n: a\n\n\r\n0\r\n"
  };
  for (const auto& bytes : truncated) {
    CheckNeverComplete(bytes, false);
    CheckNeverComplete(bytes, true);
  }
  // Without a length, only an orderly close ends a body, and only that of a
  // signed response.
  CheckNeverComplete(kHead + "\r\n" + event, true);
  CheckNeverComplete(
    "HTTP/1.1 200 OK\r\nGoldcrestcroft-Request-Id: @ID\r\n\r\n" + event, false);
}

TEST_CASE("a stage call with a truncated response does not count as produced")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  const std::string body = R"({"items":[{"handle":"127.0.0.1:1/1"}]})";
  const auto response =
    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
    "\r\n\r\n" + body;
  auto& broken = *fleet.Platform().Engines("cutter")[0];
  for (std::size_t size = 0; size < response.size(); size += 6) {
    CAPTURE(response.substr(0, size));
    broken.SetRawResponse(response.substr(0, size), EndOf(size % 4 == 0));
    const auto stream = fleet.Get(0, "/stream/x");
    const auto complete = stream.whole_ && stream.status_ == 200;
    CHECK((complete || stream.status_ == 503));
    CHECK((!complete || CountOf(stream.body_, "data: " + fleet.LastId()) == 6));
    for (const auto& engine : fleet.Platform().Engines("model")) {
      CHECK(engine->LastHeader("Goldcrestcroft-Inputs").find("127.0.0.1:1/1") ==
            std::string::npos);
    }
  }
}

} // namespace testing

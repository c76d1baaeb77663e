#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\n"
                          "Goldcrestcroft-Request-Id: @ID\r\n"
                          "Goldcrestcroft-Server-Seal: s\r\n";

struct CutCall
{
  std::string method_;
  std::string target_;
};

/** Calls of each kind while all engines that run them send only these bytes.
 * None may look whole. */
auto CheckNotWhole(const std::string& aBytes, bool aResets) -> void
{
  CAPTURE(aBytes);
  CAPTURE(aResets);
  // Engines that failed a few times in a row are not asked for a while.
  EntryFleet fleet(1, { .enginesOfEach_ = 4 });
  REQUIRE(fleet.AwaitReady(0));
  // On a connection that is kept from before, too.
  REQUIRE(fleet.Get(0, "/safe/x").status_ == 200);
  for (const auto* service : { "desk", "model" }) {
    for (const auto& engine : fleet.Platform().Engines(service)) {
      engine->SetCut(aBytes, aResets);
    }
  }
  const std::vector<CutCall> calls{ { "GET", "/safe/x" },
                                    { "HEAD", "/safe/x" },
                                    { "POST", "/unsafe/x" },
                                    { "GET", "/stream/x" },
                                    { "GET", "/once/stream/x" } };
  const auto last = aBytes.rfind("HTTP/1.1");
  const auto endsHead = last != std::string::npos &&
                        aBytes.find("\r\n\r\n", last) != std::string::npos;
  for (const auto& call : calls) {
    // An answer to HEAD ends with its head.
    if (call.method_ == "HEAD" && endsHead) {
      continue;
    }
    CAPTURE(call.method_ + call.target_);
    const auto answer =
      fleet.Call(0, { .method_ = call.method_, .target_ = call.target_ });
    CAPTURE(answer.status_);
    CHECK_FALSE((answer.status_ == 200 && answer.whole_));
    CHECK((answer.status_ == 502 || answer.status_ == 200));
    const auto once = call.target_ != "/safe/x" && call.target_ != "/stream/x";
    const auto service =
      call.target_.find("stream") == std::string::npos ? "desk" : "model";
    CHECK((!once || fleet.RunsOf(service, fleet.LastId()) <= 1));
  }
}

} // namespace

TEST_CASE("an answer whose head stops midway is framed as whole")
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
      CheckNotWhole(begin + head.substr(0, size), size % 2 == 0);
    }
    CheckNotWhole(begin + head, begin.empty());
  }
}

TEST_CASE("an answer whose body stops midway is framed as whole")
{
  const std::string event = "id: 1\ndata: @ID\n\n";
  const std::vector<std::string> cut{
    // A length that is not reached.
    kHead + "Content-Length: 400\r\n\r\n",
    kHead + "Content-Length: 400\r\n\r\n" + event,
    // Chunks that end before size, data, their end or the last one.
    kHead + "Transfer-Encoding: chunked\r\n\r\n",
    kHead + "Transfer-Encoding: chunked\r\n\r\n5",
    kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\n",
    kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\n: a",
    kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\n: a\n\n",
    kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\n: a\n\n\r\n",
    kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\n: a\n\n\r\n0\r\n"
  };
  for (const auto& bytes : cut) {
    CheckNotWhole(bytes, false);
    CheckNotWhole(bytes, true);
  }
  // Without a length only an end that is no reset is one, and only signed.
  CheckNotWhole(kHead + "\r\n" + event, true);
  CheckNotWhole(
    "HTTP/1.1 200 OK\r\nGoldcrestcroft-Request-Id: @ID\r\n\r\n" + event, false);
}

TEST_CASE("a stage call whose answer stops midway counts as made")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  const std::string body = R"({"items":[{"handle":"127.0.0.1:1/1"}]})";
  const auto answer =
    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
    "\r\n\r\n" + body;
  auto& broken = *fleet.Platform().Engines("cutter")[0];
  for (std::size_t size = 0; size < answer.size(); size += 6) {
    CAPTURE(answer.substr(0, size));
    broken.SetCut(answer.substr(0, size), size % 4 == 0);
    const auto stream = fleet.Get(0, "/stream/x");
    const auto whole = stream.whole_ && stream.status_ == 200;
    CHECK((whole || stream.status_ == 503));
    CHECK((!whole || CountOf(stream.body_, "data: " + fleet.LastId()) == 6));
    for (const auto& engine : fleet.Platform().Engines("model")) {
      CHECK(engine->LastHeader("Goldcrestcroft-Inputs").find("127.0.0.1:1/1") ==
            std::string::npos);
    }
  }
}

} // namespace testing

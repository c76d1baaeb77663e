#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

const std::string kSigned = "Goldcrestcroft-Request-Id: @ID\r\n"
                            "Goldcrestcroft-Server-Seal: s\r\n";

/** Entry host in front of engines that have nothing left of any stream. */
class EmptyFleet
{
public:
  explicit EmptyFleet(const std::string& aBytes)
    : fleet_(1)
  {
    REQUIRE(fleet_.AwaitReady(0));
    for (const auto& engine : fleet_.Platform().Engines("model")) {
      engine->SetRawResponse(aBytes);
      engine->SetRawResumption(aBytes);
    }
  }
  auto Call(const std::string& aMethod, const std::string& aTarget)
    -> CallerResponse
  {
    return fleet_.Call(0, { .method_ = aMethod,
                            .target_ = aTarget,
                            .headers_ = { { "Last-Event-Id", "6" } } });
  }

private:
  EntryFleet fleet_;
};

} // namespace

TEST_CASE("a stream with nothing left is answered by bytes without a head")
{
  for (const auto& bytes :
       { "HTTP/1.1 200 OK\r\n" + kSigned + "Content-Length: 0\r\n\r\n",
         "HTTP/1.1 200 OK\r\n" + kSigned +
           "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" }) {
    CAPTURE(bytes);
    EmptyFleet fleet(bytes);
    for (const auto* target : { "/stream/x", "/once/stream/x" }) {
      const auto response = fleet.Call("GET", target);
      CHECK(response.status_ == 200);
      CHECK(response.whole_);
      CHECK(response.body_.empty());
    }
  }
  EmptyFleet fleet("HTTP/1.1 204 No Content\r\n" + kSigned + "\r\n");
  CHECK(fleet.Call("GET", "/stream/x").status_ == 204);
  CHECK(fleet.Call("GET", "/once/stream/x").status_ == 204);
}

TEST_CASE("a HEAD request for a stream is answered by bytes without a head")
{
  EmptyFleet fleet("HTTP/1.1 200 OK\r\n" + kSigned +
                   "Transfer-Encoding: chunked\r\n\r\n");
  CHECK(fleet.Call("HEAD", "/stream/x").status_ == 200);
}

TEST_CASE(
  "a resumed stream with nothing left by its framing is taken for broken "
  "off")
{
  for (const auto& left :
       { "HTTP/1.1 200 OK\r\n" + kSigned + "Content-Length: 0\r\n\r\n",
         "HTTP/1.1 204 No Content\r\n" + kSigned + "\r\n" }) {
    CAPTURE(left);
    EntryFleet fleet(1, { .enginesPerService_ = 4 });
    REQUIRE(fleet.AwaitReady(0));
    for (const auto& engine : fleet.Platform().Engines("model")) {
      engine->SetRawResponse("HTTP/1.1 200 OK\r\n" + kSigned +
                             "\r\nid: 1\ndata: @ID\n\nid: 2\nda");
      engine->SetRawResumption(left);
    }
    const auto response = fleet.Get(0, "/stream/x");
    CHECK(response.status_ == 200);
    CHECK(response.whole_);
    CHECK(CountOf(response.body_, "data: ") == 1);
  }
}

} // namespace testing

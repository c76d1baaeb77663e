#include "../platform/HttpServer.h"

#include <doctest/doctest.h>
#include <goldcrestcroft/src/Server/Http/SimpleHttp.h>

#include <thread>

namespace testing {

namespace {

using namespace goldcrestcroft;
using standins::EarlyResponse;
using standins::ResponsePlan;

constexpr auto kAddress = "127.0.0.1:7291";
/** More than the sockets of both sides hold. */
constexpr std::size_t kLongBody = 8'000'000;

/** A server on its own thread that answers each request with given bytes, and a
 * long one as soon as its head has arrived, before it resets the connection. */
class RawServer
{
public:
  explicit RawServer(std::string aBytes)
    : server_(
        context_, kAddress,
        [aBytes](standins::Request) -> Task<ResponsePlan> {
          co_return ResponsePlan{ .raw_ = aBytes };
        },
        [aBytes](const standins::Request& aHead) {
          return aHead[http::field::content_length] == std::to_string(kLongBody)
                   ? std::optional(EarlyResponse{ .bytes_ = aBytes })
                   : std::nullopt;
        })
    , thread_([this] { context_.run(); })
  {
  }
  ~RawServer()
  {
    context_.stop();
    thread_.join();
  }
  RawServer(const RawServer&) = delete;
  auto operator=(const RawServer&) -> RawServer& = delete;

private:
  asio::io_context context_;
  standins::HttpServer server_;
  std::thread thread_;
};

auto Post(const std::string& aResponse, std::size_t aBodyBytes = 4)
  -> HttpResponse
{
  const RawServer server(aResponse);
  return CallAndWait({ .url_ = "http://" + std::string(kAddress) + "/",
                       .body_ = std::string(aBodyBytes, 'x') });
}

/** The exchange fails like one whose connection broke, so that the request may
 * have run, and the response has no body. */
auto CheckBroken(const std::string& aResponse) -> void
{
  CAPTURE(aResponse);
  const auto response = Post(aResponse);
  CHECK(response.end_ == HttpOutcome::Broken);
  CHECK_FALSE(response.error_.empty());
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kBody = "Content-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("http client: a response whose status is no status code is not "
          "accepted")
{
  for (const auto* status :
       { "000", "001", "099", "600", "700", "999", "42", "1000", "2x0" }) {
    CheckBroken("HTTP/1.1 " + std::string(status) + " Trouble\r\n" + kBody);
  }
}

TEST_CASE("http client: a response with a malformed field is not accepted")
{
  for (const auto& line :
       { std::string("X bad: 1"), std::string("X-Bad : 1"),
         std::string("X-Bad\t: 1"), std::string("X\x01: 1"),
         std::string("X\x7f: 1"), std::string("X\x80: 1"), std::string(": 1"),
         std::string("X-Bad"), std::string("HTTP/1.1 200 OK"),
         std::string("Content-Length : 2"), std::string("X-Bad: a\x01"),
         std::string("X\0: 1", 5), std::string(" folded: 1") }) {
    const auto field = line + "\r\n";
    CheckBroken(kOk + field + kBody);
    CheckBroken(kOk + "X-Good: 1\r\n" + field + kBody);
    CheckBroken("HTTP/1.1 500 Error\r\n" + field + kBody);
    CheckBroken("HTTP/1.1 103 Early Hints\r\n" + field + "\r\n" + kOk + kBody);
    CheckBroken(kOk + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" +
                field + "\r\n");
  }
}

TEST_CASE("http client: a response in a transfer coding other than chunked is "
          "not accepted")
{
  for (const auto* coding :
       { "gzip", "identity", "chunked, gzip", "gzip, chunked", "x-unknown" }) {
    const auto head = kOk + "Transfer-Encoding: " + coding + "\r\n";
    CheckBroken(head + "\r\n2\r\nok\r\n0\r\n\r\n");
    CheckBroken(head + kBody);
  }
}

TEST_CASE("http client: a response whose length is ambiguous is not accepted")
{
  for (const auto* length :
       { "Content-Length: 6\r\nContent-Length: 2\r\n",
         "Content-Length: 2\r\nContent-Length: 6\r\n",
         "Content-Length: 2, 6\r\n", "Content-Length: 2x\r\n",
         "Content-Length: +2\r\n", "Content-Length: -2\r\n",
         "Content-Length: \r\n", "Content-Length: 18446744073709551618\r\n",
         "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: chunked\r\nContent-Length: 12\r\n",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" }) {
    CheckBroken(kOk + length + "\r\n2\r\nok\r\n0\r\n\r\n");
  }
}

TEST_CASE("http client: a valid response is accepted")
{
  for (const auto& response :
       { kOk + kBody, kOk + "Content-Length:\t2\t\r\n" + kBody,
         kOk + "X-Good:\tvalue \x80 \r\n" + kBody,
         kOk + "Transfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
         kOk + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: 1\r\n"
               "\r\n",
         "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + kOk + kBody,
         "HTTP/1.1 599 Error\r\n" + kBody }) {
    CAPTURE(response);
    const auto accepted = Post(response);
    CHECK(accepted.end_ == HttpOutcome::Answered);
    CHECK(accepted.body_ == "ok");
  }
}

TEST_CASE("http client: a response without a length whose connection is reset "
          "during the upload is not accepted")
{
  for (auto round = 0; round < 5; ++round) {
    CHECK(Post(kOk + "\r\npart", kLongBody).end_ == HttpOutcome::Broken);
  }
}

} // namespace testing

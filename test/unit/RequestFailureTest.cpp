#include "StallableLoop.h"
#include "ThrowingCodec.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

/** Reads to the end of the connection. Returns the error that ended it. */
auto ReadToEnd(StallableLoop& aLoop, Tcp::socket& aSocket, std::string& aInto)
  -> boost::system::error_code
{
  boost::system::error_code error;
  aSocket.non_blocking(true);
  aLoop.RunUntil([&] {
    char bytes[4096];
    const auto size = aSocket.read_some(asio::buffer(bytes), error);
    aInto.append(bytes, size);
    return error && error != asio::error::would_block;
  });
  return error;
}

} // namespace

TEST_CASE("a request that fails before it is served is answered with 502 and "
          "the connection closes")
{
  StallableLoop loop;
  ThrowingCodec codec;
  StalledTraffic traffic(loop, &codec);
  traffic.SetLimits({});
  auto caller = traffic.AddCaller();
  loop.Poll();
  codec.FailFromNowOn();
  asio::write(
    caller, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: try.example\r\n"
                                     "Goldcrestcroft-Request-Id: a\r\n\r\n")));
  std::string response;
  CHECK(ReadToEnd(loop, caller, response) == asio::error::eof);
  CHECK(response.starts_with("HTTP/1.1 502 "));
}

} // namespace testing

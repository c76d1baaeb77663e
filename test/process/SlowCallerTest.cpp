#include "EntryFleet.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

/** Sends the call, then aAfter, and reads the response only after aPause. */
auto ReadLate(const std::string& aAddress, const CallerCall& aCall,
              const std::string& aAfter, std::chrono::milliseconds aPause)
  -> CallerResponse
{
  asio::io_context context;
  Tcp::socket socket(context);
  socket.open(Tcp::v4());
  // Small receive windows, as on the links of distant callers.
  socket.set_option(asio::socket_base::receive_buffer_size(4096));
  socket.connect(ParseTcpEndpoint(aAddress));
  const timeval timeout{ .tv_sec = 8 };
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
             sizeof(timeout));
  http::request<http::string_body> request(http::verb::post, aCall.target_, 11);
  for (const auto& [name, value] : aCall.headers_) {
    request.set(name, value);
  }
  request.body() = aCall.body_;
  request.prepare_payload();
  boost::system::error_code error;
  http::write(socket, request, error);
  asio::write(socket, asio::buffer(aAfter), error);
  std::this_thread::sleep_for(aPause);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  http::read(socket, buffer, parser, error);
  return { .status_ = static_cast<int>(parser.get().result_int()),
           .body_ = parser.get().body(),
           .whole_ = !error && parser.is_done() };
}

/** More than the buffers of a connection can hold. */
constexpr std::size_t kPadding = 8'000'000;

auto PadResponses(EntryFleet& aFleet) -> void
{
  for (const auto& engine : aFleet.Platform().Engines("desk")) {
    engine->padding_ = kPadding;
  }
}

} // namespace

TEST_CASE("a response arrives completely although its caller reads nothing for "
          "some seconds")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  PadResponses(fleet);
  const auto response =
    ReadLate(fleet.CallerAddress(0), fleet.MakeCall("/unsafe/x"), "",
             std::chrono::seconds{ 4 });
  CHECK(response.status_ == 200);
  CHECK(response.whole_);
  CHECK(response.body_.size() > kPadding);
}

TEST_CASE("the last response of a connection arrives completely although bytes "
          "follow its request")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  PadResponses(fleet);
  auto call = fleet.MakeCall("/unsafe/x");
  call.headers_["Connection"] = "close";
  constexpr std::size_t kMoreThanOneRead = 200'000;
  const auto response =
    ReadLate(fleet.CallerAddress(0), call, std::string(kMoreThanOneRead, 'x'),
             std::chrono::milliseconds{ 600 });
  CHECK(response.status_ == 200);
  CHECK(response.whole_);
  CHECK(response.body_.size() > kPadding);
}

} // namespace testing

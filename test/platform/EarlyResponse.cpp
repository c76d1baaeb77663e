#include "EarlyResponse.h"

#include <array>

namespace standins {

using namespace goldcrestcroft;

namespace {

auto ReadToEnd(Tcp::socket& aSocket) -> Task<void>
{
  std::array<char, 65'536> bytes{};
  for (;;) {
    const auto [error, size] =
      co_await aSocket.async_read_some(asio::buffer(bytes), kAsTuple);
    if (error) {
      co_return;
    }
  }
}

} // namespace

auto SendEarly(Tcp::socket& aSocket, EarlyResponse aResponse) -> Task<void>
{
  boost::system::error_code ignored; // The peer may have closed it first.
  co_await asio::async_write(aSocket, asio::buffer(aResponse.bytes_), kAsTuple);
  const auto isOrderly = aResponse.end_ == EarlyEnd::EndsAndReads ||
                         aResponse.end_ == EarlyEnd::EndsAndResets;
  if (isOrderly) {
    aSocket.shutdown(Tcp::socket::shutdown_send, ignored);
  }
  if (aResponse.end_ == EarlyEnd::EndsAndReads) {
    co_await ReadToEnd(aSocket);
  } else if (aResponse.pause_ > std::chrono::milliseconds{}) {
    asio::steady_timer timer(aSocket.get_executor(), aResponse.pause_);
    co_await timer.async_wait(kAsTuple);
  }
  if (aResponse.end_ == EarlyEnd::Resets ||
      aResponse.end_ == EarlyEnd::EndsAndResets) {
    aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  aSocket.close(ignored);
}

} // namespace standins

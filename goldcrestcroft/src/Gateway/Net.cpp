#include "Net.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <ctime>

namespace goldcrestcroft {

namespace {

template<typename T>
auto SetOption(Tcp::socket& aSocket, int aLevel, int aName, T aValue) -> void
{
  // A system without the option still works, it only notices silence later.
  [[maybe_unused]] const auto set =
    setsockopt(aSocket.native_handle(), aLevel, aName, &aValue, sizeof(aValue));
}

} // namespace

auto SetSocketOptions(Tcp::socket& aSocket, const SilenceOptions& aOptions)
  -> void
{
  const auto every = static_cast<int>(aOptions.probeEvery_.count());
  const auto silent = static_cast<unsigned>(aOptions.unacknowledged_.count());
  SetOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, every);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, every);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, aOptions.probes_);
  SetOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, silent);
}

auto ProbeIdle(Tcp::socket& aSocket) -> IdleState
{
  char byte = 0;
  const auto got =
    recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) {
    return IdleState::HasBytes;
  }
  const auto quiet = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return quiet ? IdleState::Quiet : IdleState::Closed;
}

auto ParseTcpEndpoint(const std::string& aText) -> Tcp::endpoint
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return {};
  }
  boost::system::error_code error;
  const auto address = asio::ip::make_address_v4(aText.substr(0, colon), error);
  std::uint16_t port = 0;
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc{} || parsed.ptr != end) {
    return {};
  }
  return { address, port };
}

auto Listen(asio::io_context& aContext, const std::string& aAddress)
  -> Result<Tcp::acceptor>
{
  // Bursts of new connections wait here; a full queue costs callers seconds.
  constexpr auto kBacklog = 4096;
  Tcp::acceptor acceptor(aContext);
  boost::system::error_code error;
  const auto endpoint = ParseTcpEndpoint(aAddress);
  acceptor.open(Tcp::v4(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(kBacklog, error);
  }
  if (error) {
    return Fail(
      { .kind_ = ErrorKind::Unavailable,
        .message_ = aAddress + " cannot be listened on: " + error.message(),
        .remedy_ = "stop what uses the port, or change the address "
                   "in the settings file" });
  }
  return acceptor;
}

auto SuspendAwareClock::Now() const -> TimePoint
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace goldcrestcroft

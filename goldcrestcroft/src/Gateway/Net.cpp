#include "Net.h"

#include "../Observability/Log.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <ctime>
#include <optional>

namespace goldcrestcroft {

namespace {

template<typename T>
auto SetOption(Tcp::socket& aSocket, int aLevel, int aName, T aValue) -> void
{
  // Errors are ignored: without the option, an unresponsive peer is only
  // detected later.
  [[maybe_unused]] const auto set =
    setsockopt(aSocket.native_handle(), aLevel, aName, &aValue, sizeof(aValue));
}

/** \brief Runs aBind, and again after pauses while its address is taken. */
template<typename Bind>
auto BindWithRetry(const std::string& aAddress, const BindRetry& aRetry,
                   Bind aBind) -> boost::system::error_code
{
  constexpr auto kPause = std::chrono::milliseconds{ 100 };
  constexpr auto kLogInterval = std::chrono::seconds{ 10 };
  const SuspendAwareClock clock;
  std::optional<TimePoint> loggedAt;
  for (;;) {
    const auto error = aBind();
    const auto isMissing = error == boost::system::errc::address_not_available;
    const auto mayPass = isMissing || error == asio::error::address_in_use;
    const auto until =
      isMissing ? std::max(aRetry.until_, aRetry.addressUntil_) : aRetry.until_;
    const auto now = clock.Now();
    const auto left = until - now;
    if (!mayPass || left <= Duration{}) {
      return error;
    }
    if (!loggedAt || now - *loggedAt >= kLogInterval) {
      loggedAt = now;
      Log::Write(
        LogLevel::Warning, isMissing ? "address_missing" : "address_taken",
        { { "address", aAddress },
          { "reason", error.message() },
          { "left_ms", std::to_string(ToMilliseconds(left)) },
          { "remedy",
            isMissing ? "configure the address on this machine, or change the "
                        "settings file; the host tries again until then"
                      : "stop what uses the port; the host tries again until "
                        "then" } });
    }
    if (!aRetry.pause_(kPause)) {
      return error;
    }
  }
}

} // namespace

auto SetSocketOptions(Tcp::socket& aSocket, const KeepaliveOptions& aOptions)
  -> void
{
  const auto interval = static_cast<int>(aOptions.probeInterval_.count());
  const auto userTimeout =
    static_cast<unsigned>(aOptions.unacknowledgedTimeout_.count());
  SetOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, interval);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, interval);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, aOptions.probes_);
  SetOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeout);
}

auto ProbeIdle(Tcp::socket& aSocket) -> IdleState
{
  char byte = 0;
  const auto received =
    recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return IdleState::HasBytes;
  }
  const auto wouldBlock =
    received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return wouldBlock ? IdleState::Quiet : IdleState::Closed;
}

auto IsReset(Tcp::socket& aSocket) -> bool
{
  // A socket reports an error once, and reads that follow return 0 bytes, as
  // they do after an orderly end. Then, however, the state is TCP_CLOSE_WAIT.
  tcp_info info{};
  socklen_t size = sizeof(info);
  return getsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                    &size) == 0 &&
         info.tcpi_state == TCP_CLOSE;
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

auto Listen(asio::io_context& aContext, const std::string& aAddress,
            const BindRetry& aRetry) -> Result<Tcp::acceptor>
{
  // Absorbs bursts of new connections; a full backlog delays callers by
  // seconds.
  constexpr auto kBacklog = 4096;
  Tcp::acceptor acceptor(aContext);
  const auto error = BindWithRetry(aAddress, aRetry, [&] {
    boost::system::error_code failure;
    acceptor = Tcp::acceptor(aContext);
    acceptor.open(Tcp::v4(), failure);
    if (!failure) {
      acceptor.set_option(asio::socket_base::reuse_address(true), failure);
    }
    if (!failure) {
      acceptor.bind(ParseTcpEndpoint(aAddress), failure);
    }
    if (!failure) {
      acceptor.listen(kBacklog, failure);
    }
    return failure;
  });
  if (error) {
    return Fail(
      { .kind_ = ErrorKind::Unavailable,
        .message_ = aAddress + " cannot be listened on: " + error.message(),
        .remedy_ = "stop what uses the port, or change the address "
                   "in the settings file" });
  }
  return acceptor;
}

auto BindDatagrams(Udp::socket& aSocket, const std::string& aAddress,
                   const BindRetry& aRetry) -> Result<void>
{
  const auto endpoint = ParseTcpEndpoint(aAddress);
  const auto error = BindWithRetry(aAddress, aRetry, [&] {
    boost::system::error_code failure;
    if (!aSocket.is_open()) {
      aSocket.open(Udp::v4(), failure);
    }
    if (!failure) {
      aSocket.bind({ endpoint.address(), endpoint.port() }, failure);
    }
    return failure;
  });
  if (error) {
    return Fail({ .kind_ = ErrorKind::Unavailable,
                  .message_ = "datagrams to " + aAddress +
                              " cannot be received: " + error.message(),
                  .remedy_ = "free the port, or change 'peer_port'" });
  }
  return {};
}

auto SuspendAwareClock::Now() const -> TimePoint
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace goldcrestcroft

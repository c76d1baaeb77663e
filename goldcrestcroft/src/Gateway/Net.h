#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "../../Core.h"

#include <functional>

namespace goldcrestcroft {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;
template<typename T>
using Task = asio::awaitable<T>;

/** \brief Completion token: the error code is the first element returned. */
inline constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/** \brief When a connection to an unresponsive peer is dropped. */
struct KeepaliveOptions
{
  /** Idle time before the first keepalive probe, and interval between probes.
   */
  std::chrono::seconds probeInterval_{ 1 };
  int probes_ = 2;
  /** Maximum time that sent bytes may stay unacknowledged, also when the peer
   * does not read; zero selects the system default. */
  std::chrono::milliseconds unacknowledgedTimeout_{ 1200 };
};

/** \brief Disables Nagle's algorithm and lets the system detect unresponsive
 * peers within seconds. */
auto SetSocketOptions(Tcp::socket& aSocket,
                      const KeepaliveOptions& aOptions = {}) -> void;

/** \brief Whether an idle connection was closed by its peer or holds unread
 * bytes. */
enum class IdleState
{
  Quiet,
  Closed,
  HasBytes
};
auto ProbeIdle(Tcp::socket& aSocket) -> IdleState;

/** \brief Whether the connection was reset or timed out, even if an operation
 * has already reported the error. False for a closed socket. */
auto IsReset(Tcp::socket& aSocket) -> bool;

/** \brief "IP:PORT"; never throws; the port is 0 if the text is malformed. */
auto ParseTcpEndpoint(const std::string& aText) -> Tcp::endpoint;

/** \brief Until when an address is tried again. */
struct BindRetry
{
  /** While another process uses it. */
  TimePoint until_{};
  /** While the machine does not have it; not before until_. */
  TimePoint addressUntil_{};
  /** Waits; returns false if there shall be no further attempt. */
  std::function<bool(Duration)> pause_ = [](Duration) { return false; };
};

/** \brief Opens a listening socket with a long backlog. Fails with Unavailable.
 */
auto Listen(asio::io_context& aContext, const std::string& aAddress,
            const BindRetry& aRetry = {}) -> Result<Tcp::acceptor>;

/** \brief Binds a socket for datagrams. Fails with Unavailable. */
auto BindDatagrams(Udp::socket& aSocket, const std::string& aAddress,
                   const BindRetry& aRetry = {}) -> Result<void>;

/** \brief A clock that also advances while the machine is suspended, so that
 * deadlines have expired when the host resumes. */
struct SuspendAwareClock
{
  [[nodiscard]] auto Now() const -> TimePoint;
};

} // namespace goldcrestcroft

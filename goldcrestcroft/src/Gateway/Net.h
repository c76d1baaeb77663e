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

/** \brief How soon a connection whose other end is silent is given up. */
struct SilenceOptions
{
  /** Idle time before the first probe, and between probes. */
  std::chrono::seconds probeEvery_{ 1 };
  int probes_ = 2;
  /** Time that sent bytes may stay unacknowledged, also where the other end
   * does not read; zero for the system's own. */
  std::chrono::milliseconds unacknowledged_{ 1200 };
};

/** \brief No delay for small writes; silent ends are noticed in seconds. */
auto SetSocketOptions(Tcp::socket& aSocket, const SilenceOptions& aOptions = {})
  -> void;

/** \brief Whether the other end has closed, or sent what nobody waits for. */
enum class IdleState
{
  Quiet,
  Closed,
  HasBytes
};
auto ProbeIdle(Tcp::socket& aSocket) -> IdleState;

/** \brief "IP:PORT"; throws nothing, the port is 0 on malformed text. */
auto ParseTcpEndpoint(const std::string& aText) -> Tcp::endpoint;

/** \brief Opens a listening socket with a long queue. Fails with Unavailable.
 */
auto Listen(asio::io_context& aContext, const std::string& aAddress)
  -> Result<Tcp::acceptor>;

/** \brief Time that also counts while the machine is suspended, so that a
 * woken host takes its deadlines as passed. */
struct SuspendAwareClock
{
  [[nodiscard]] auto Now() const -> TimePoint;
};

} // namespace goldcrestcroft

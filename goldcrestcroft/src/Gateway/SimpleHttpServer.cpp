#include "SimpleHttpServer.h"

#include "BackgroundTask.h"
#include "Deadline.h"

namespace goldcrestcroft {

namespace {

/** Clients of this server send their request or disconnect within a second. */
constexpr auto kIdleTimeout = std::chrono::seconds{ 10 };
constexpr std::uint32_t kMaxHeaderBytes = 16'384;
/** Probes and collectors send some ten fields; bounds the memory of parsed
 * fields at 20 KB a connection. */
constexpr std::size_t kMaxHeaderFields = 256;

} // namespace

auto SimpleHttpServer::Start(const std::string& aAddress,
                             const BindRetry& aRetry) -> Result<void>
{
  BOOST_LEAF_AUTO(acceptor, Listen(context_, aAddress, aRetry));
  acceptor_.emplace(std::move(acceptor));
  asio::co_spawn(context_,
                 KeepRunning("accept_small", [this] { return Accept(); }),
                 LogFailure{ "accept_small" });
  return {};
}

auto SimpleHttpServer::Accept() -> Task<void>
{
  // Pause while no file descriptor is free.
  constexpr auto kAcceptRetryDelay = std::chrono::milliseconds{ 20 };
  for (;;) {
    auto [error, socket] = co_await acceptor_->async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      asio::steady_timer timer(context_, kAcceptRetryDelay);
      co_await timer.async_wait(kAsTuple);
      continue;
    }
    if (connections_.size() >= maxConnections_) {
      boost::system::error_code ignored;
      connections_.front()->close(ignored);
      connections_.pop_front();
    }
    connections_.push_back(std::make_shared<Tcp::socket>(std::move(socket)));
    asio::co_spawn(context_, Serve(connections_.back()),
                   LogFailure{ "serve_small" });
  }
}

auto SimpleHttpServer::Serve(std::shared_ptr<Tcp::socket> aSocket) -> Task<void>
{
  const auto socket = std::move(aSocket);
  SetSocketOptions(*socket);
  auto serving = ServeRequests(*socket);
  co_await std::move(serving);
  boost::system::error_code ignored;
  socket->close(ignored);
  connections_.remove(socket);
}

auto SimpleHttpServer::ReadRequest(Tcp::socket& aSocket,
                                   beast::flat_buffer& aBuffer,
                                   RequestParser& aParser) -> Task<bool>
{
  aParser.header_limit(kMaxHeaderBytes);
  aParser.body_limit(kMaxHeaderBytes);
  std::function<bool(std::size_t)> proceed = [](std::size_t) { return true; };
  auto reading =
    ReadHeader(aSocket, aBuffer, aParser, kMaxHeaderFields, proceed);
  const auto header = co_await std::move(reading);
  if (header.error_ || header.tooManyFields_) {
    co_return false;
  }
  std::size_t taken = 0;
  while (!aParser.is_done()) {
    const auto error = co_await ReadSomeBody(aSocket, aBuffer, aParser, taken);
    if (error) {
      co_return false;
    }
  }
  co_return true;
}

auto SimpleHttpServer::ServeRequests(Tcp::socket& aSocket) -> Task<void>
{
  beast::flat_buffer buffer;
  Deadline deadline(context_.get_executor(), [&] {
    return aSocket.is_open() && ProbeIdle(aSocket) == IdleState::HasBytes;
  });
  for (;;) {
    // Covers the request and the writing of the response before it.
    deadline.Arm(kIdleTimeout, [&](auto) {
      boost::system::error_code ignored;
      aSocket.close(ignored);
    });
    RequestParser parser;
    if (!co_await ReadRequest(aSocket, buffer, parser)) {
      break;
    }
    const auto& request = parser.get();
    auto result = handler_(std::string(request.target()));
    http::response<http::string_body> response(
      static_cast<http::status>(result.status_), 11, std::move(result.body_));
    response.set(http::field::content_type, result.contentType_);
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    const auto [writeError, written] =
      co_await http::async_write(aSocket, response, kAsTuple);
    if (writeError || !response.keep_alive()) {
      break;
    }
  }
}

} // namespace goldcrestcroft

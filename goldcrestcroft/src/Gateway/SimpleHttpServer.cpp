#include "SimpleHttpServer.h"

#include "BackgroundTask.h"
#include "Deadline.h"

namespace goldcrestcroft {

namespace {

/** Clients of this server send their request or disconnect within a second. */
constexpr auto kIdleTimeout = std::chrono::seconds{ 10 };
constexpr std::uint32_t kMaxHeaderBytes = 16'384;

} // namespace

auto SimpleHttpServer::Start(const std::string& aAddress) -> Result<void>
{
  BOOST_LEAF_AUTO(acceptor, Listen(context_, aAddress));
  acceptor_.emplace(std::move(acceptor));
  asio::co_spawn(context_,
                 KeepRunning("accept_small", [this] { return Accept(); }),
                 LogFailure{ "accept_small" });
  return {};
}

auto SimpleHttpServer::Accept() -> Task<void>
{
  for (;;) {
    auto [error, socket] = co_await acceptor_->async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (!error) {
      asio::co_spawn(context_, Serve(std::move(socket)),
                     LogFailure{ "serve_small" });
    }
  }
}

auto SimpleHttpServer::Serve(Tcp::socket aSocket) -> Task<void>
{
  auto socket = std::move(aSocket);
  SetSocketOptions(socket);
  beast::flat_buffer buffer;
  Deadline deadline(context_.get_executor(), [&] {
    return socket.is_open() && ProbeIdle(socket) == IdleState::HasBytes;
  });
  for (;;) {
    deadline.Arm(kIdleTimeout, [&](auto) {
      boost::system::error_code ignored;
      socket.close(ignored);
    });
    http::request_parser<http::string_body> parser;
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(kMaxHeaderBytes);
    const auto [error, size] =
      co_await http::async_read(socket, buffer, parser, kAsTuple);
    if (error) {
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
      co_await http::async_write(socket, response, kAsTuple);
    if (writeError || !response.keep_alive()) {
      break;
    }
  }
  boost::system::error_code ignored;
  socket.close(ignored);
}

} // namespace goldcrestcroft

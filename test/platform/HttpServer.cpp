#include "HttpServer.h"

#include <limits>

namespace standins {

using namespace goldcrestcroft;

namespace {

constexpr auto kPollInterval = std::chrono::milliseconds{ 10 };
/** Time from an exit to the restart. */
constexpr auto kExitDowntime = std::chrono::milliseconds{ 500 };

auto Sleep(asio::io_context& aContext, std::chrono::milliseconds aTime)
  -> Task<void>
{
  asio::steady_timer timer(aContext, aTime);
  co_await timer.async_wait(kAsTuple);
}

auto MakeResponse(const ResponsePlan& aReaction)
  -> http::response<http::string_body>
{
  http::response<http::string_body> response(
    static_cast<http::status>(aReaction.status_), 11);
  for (const auto& [name, value] : aReaction.headers_) {
    response.set(name, value);
  }
  return response;
}

auto WriteChunks(asio::io_context& aContext, Tcp::socket& aSocket,
                 const ResponsePlan& aReaction) -> Task<bool>
{
  http::response<http::empty_body> head(MakeResponse(aReaction).base());
  head.chunked(true);
  http::response_serializer<http::empty_body> serializer(head);
  co_await http::async_write_header(aSocket, serializer, kAsTuple);
  constexpr std::size_t kStallsBefore = 2;
  for (std::size_t i = 0; i < aReaction.chunks_.size(); ++i) {
    const auto& chunk = aReaction.chunks_[i];
    co_await Sleep(aContext,
                   i == kStallsBefore ? aReaction.stall_ : aReaction.pause_);
    const auto [error, size] = co_await asio::async_write(
      aSocket, http::make_chunk(asio::buffer(chunk)), kAsTuple);
    if (error) {
      co_return false;
    }
  }
  if (aReaction.truncates_) {
    co_return false;
  }
  const auto [error, size] =
    co_await asio::async_write(aSocket, http::make_chunk_last(), kAsTuple);
  co_return !error;
}

} // namespace

HttpServer::HttpServer(asio::io_context& aContext, const std::string& aAddress,
                       Handler aHandler, HeadHandler aHeadHandler)
  : context_(aContext)
  , handler_(std::move(aHandler))
  , headHandler_(std::move(aHeadHandler))
  , address_(ParseTcpEndpoint(aAddress))
  , acceptor_(aContext, address_)
{
  asio::co_spawn(context_, Accept(), asio::detached);
}

auto HttpServer::Close() -> void
{
  boost::system::error_code ignored; // The peer may have closed it first.
  acceptor_.close(ignored);
  for (const auto& weak : sockets_) {
    if (const auto socket = weak.lock()) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }
  sockets_.clear();
  silent_ = false;
}

auto HttpServer::Open() -> void
{
  acceptor_ = Tcp::acceptor(context_, address_);
  asio::co_spawn(context_, Accept(), asio::detached);
}

auto HttpServer::AwaitOpen(const Tcp::socket& aSocket) -> Task<bool>
{
  while (silent_ && aSocket.is_open()) {
    co_await Sleep(context_, kPollInterval);
  }
  co_return aSocket.is_open();
}

auto HttpServer::ExitAndRestart() -> Task<void>
{
  boost::system::error_code ignored; // The peer may have closed it first.
  acceptor_.close(ignored);
  for (const auto& weak : sockets_) {
    if (const auto socket = weak.lock()) {
      socket->close(ignored);
    }
  }
  sockets_.clear();
  co_await Sleep(context_, kExitDowntime);
  if (!acceptor_.is_open()) {
    Open();
  }
}

auto HttpServer::WriteRaw(Tcp::socket& aSocket, const ResponsePlan& aReaction)
  -> Task<void>
{
  co_await asio::async_write(aSocket, asio::buffer(*aReaction.raw_), kAsTuple);
  co_await Sleep(context_, aReaction.rawPause_);
  co_await End(aSocket, aReaction.rawEnd_);
}

auto HttpServer::WriteUnframed(Tcp::socket& aSocket,
                               const ResponsePlan& aReaction) -> Task<bool>
{
  http::response<http::empty_body> head(MakeResponse(aReaction).base());
  head.keep_alive(false);
  http::response_serializer<http::empty_body> serializer(head);
  co_await http::async_write_header(aSocket, serializer, kAsTuple);
  const auto parts = aReaction.chunks_.empty() ? std::vector{ aReaction.body_ }
                                               : aReaction.chunks_;
  auto left = aReaction.unframed_->bytes_.value_or(
    std::numeric_limits<std::size_t>::max());
  for (const auto& part : parts) {
    co_await Sleep(context_, aReaction.pause_);
    const auto size = std::min(left, part.size());
    const auto [error, written] = co_await asio::async_write(
      aSocket, asio::buffer(part.data(), size), kAsTuple);
    if (error) {
      co_return false;
    }
    left -= size;
    if (size < part.size() || left == 0) {
      co_await End(aSocket, aReaction.unframed_->end_);
      co_return false;
    }
  }
  co_return true;
}

auto HttpServer::End(Tcp::socket& aSocket, RawEnd aEnd) -> Task<void>
{
  if (aEnd == RawEnd::Resets) {
    // The bytes must arrive before the reset.
    co_await Sleep(context_, kPollInterval);
    aSocket.set_option(asio::socket_base::linger(true, 0));
    aSocket.close();
  } else if (aEnd == RawEnd::Exits && acceptor_.is_open()) {
    asio::co_spawn(context_, ExitAndRestart(), asio::detached);
  }
}

auto HttpServer::Accept() -> Task<void>
{
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(kAsTuple);
    if (error) {
      co_return;
    }
    if (connections_ >= maxConnections_) {
      socket.set_option(asio::socket_base::linger(true, 0));
      socket.close();
      continue;
    }
    ++connections_;
    const auto kept = std::make_shared<Tcp::socket>(std::move(socket));
    std::erase_if(sockets_, [](const auto& aWeak) { return aWeak.expired(); });
    sockets_.push_back(kept);
    asio::co_spawn(context_, Serve(kept),
                   [this](const auto&) { --connections_; });
  }
}

auto HttpServer::Serve(std::shared_ptr<Tcp::socket> aSocket) -> Task<void>
{
  auto& socket = *aSocket;
  beast::flat_buffer buffer;
  std::optional<http::response<http::string_body>> last;
  const SuspendAwareClock clock;
  for (auto isNew = true;; isNew = false) {
    const auto idleSince = clock.Now();
    http::request_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    const auto [headError, headSize] =
      co_await http::async_read_header(socket, buffer, parser, kAsTuple);
    if (headError) {
      co_return;
    }
    if (auto early = headHandler_(parser.get())) {
      co_await SendEarly(socket, *std::move(early));
      co_return;
    }
    const auto [error, size] =
      co_await http::async_read(socket, buffer, parser, kAsTuple);
    if (error) {
      co_return;
    }
    auto request = parser.release();
    if (!isNew && ExceedsIdleTimeout(clock.Now() - idleSince)) {
      ++idleResets_;
      socket.set_option(asio::socket_base::linger(true, 0));
      co_return;
    }
    const auto reads = co_await AwaitOpen(socket);
    if (!reads) {
      co_return;
    }
    const std::string id(request["Goldcrestcroft-Request-Id"]);
    const auto reaction = co_await handler_(std::move(request));
    co_await Sleep(context_, reaction.delay_);
    const auto writes = co_await AwaitOpen(socket);
    if (!writes) {
      co_return;
    }
    if (ProbeIdle(socket) == IdleState::Closed) {
      ++abandoned_;
      co_return;
    }
    if (reaction.drops_) {
      co_return;
    }
    if (reaction.endless_) {
      co_await endless_.Write(socket, *reaction.endless_, id);
      co_return;
    }
    if (reaction.strayId_) {
      ResponsePlan stray{ .body_ = "an answer to another request" };
      auto head = MakeResponse(stray);
      head.set("Goldcrestcroft-Request-Id", *reaction.strayId_);
      head.body() = stray.body_;
      head.prepare_payload();
      co_await http::async_write(socket, head, kAsTuple);
    }
    if (reaction.duplicatesLast_ && last) {
      if (!reaction.duplicateHasId_) {
        last->erase("Goldcrestcroft-Request-Id");
      }
      co_await http::async_write(socket, *last, kAsTuple);
    }
    if (reaction.raw_) {
      co_await WriteRaw(socket, reaction);
      co_return;
    }
    if (reaction.unframed_) {
      const auto complete = co_await WriteUnframed(socket, reaction);
      if (complete && reaction.onDone_) {
        reaction.onDone_();
      }
      co_return;
    }
    if (!reaction.chunks_.empty()) {
      const auto complete = co_await WriteChunks(context_, socket, reaction);
      if (!complete) {
        co_return;
      }
      if (reaction.onDone_) {
        reaction.onDone_();
      }
      continue;
    }
    auto response = MakeResponse(reaction);
    response.body() = reaction.body_;
    response.prepare_payload();
    if (reaction.truncates_) {
      response.body().resize(response.body().size() / 2);
    }
    const auto [writeError, written] =
      co_await http::async_write(socket, response, kAsTuple);
    if (writeError || reaction.truncates_) {
      co_return;
    }
    if (reaction.onDone_) {
      reaction.onDone_();
    }
    last = std::move(response);
  }
}

} // namespace standins

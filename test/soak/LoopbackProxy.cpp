#include "LoopbackProxy.h"

namespace soak {

using namespace goldcrestcroft;

namespace {

/** How often a paused direction checks whether it may continue. */
constexpr auto kPollInterval = std::chrono::milliseconds{ 10 };
constexpr std::size_t kBlockSize = 16384;

auto ResetSocket(Tcp::socket& aSocket) -> void
{
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

} // namespace

LoopbackProxy::LoopbackProxy(asio::io_context& aContext,
                             const std::string& aListen,
                             const std::string& aTarget)
  : context_(aContext)
  , acceptor_(aContext, ParseTcpEndpoint(aListen))
  , target_(ParseTcpEndpoint(aTarget))
{
  asio::co_spawn(context_, Accept(), asio::detached);
}

auto LoopbackProxy::SetFault(LinkFault aFault, std::chrono::milliseconds aDelay)
  -> void
{
  fault_ = aFault;
  delay_ = aDelay;
  std::erase_if(pairs_, [](const auto& aPair) { return aPair.expired(); });
  for (const auto& weak : pairs_) {
    const auto pair = weak.lock();
    if (aFault == LinkFault::Blackholed) {
      pair->blackholed_ = true;
    } else if (aFault == LinkFault::Reset) {
      ResetSocket(pair->downstream_);
      ResetSocket(pair->upstream_);
    }
  }
}

auto LoopbackProxy::Accept() -> Task<void>
{
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(kAsTuple);
    if (error) {
      co_return;
    }
    if (fault_ == LinkFault::Reset) {
      ResetSocket(socket);
      continue;
    }
    const auto pair = std::make_shared<ConnectionPair>(ConnectionPair{
      .downstream_ = std::move(socket), .upstream_ = Tcp::socket(context_) });
    pairs_.push_back(pair);
    asio::co_spawn(context_, Connect(pair), asio::detached);
  }
}

auto LoopbackProxy::Connect(std::shared_ptr<ConnectionPair> aPair) -> Task<void>
{
  const auto [error] =
    co_await aPair->upstream_.async_connect(target_, kAsTuple);
  if (error) {
    ResetSocket(aPair->downstream_);
    co_return;
  }
  SetSocketOptions(aPair->downstream_);
  SetSocketOptions(aPair->upstream_);
  asio::co_spawn(context_, Forward(aPair, true), asio::detached);
  asio::co_spawn(context_, Forward(aPair, false), asio::detached);
}

auto LoopbackProxy::ApplyFault(std::shared_ptr<ConnectionPair> aPair,
                               bool aToUpstream) -> Task<bool>
{
  const auto open = [&] {
    return aPair->downstream_.is_open() && aPair->upstream_.is_open();
  };
  if (fault_ == LinkFault::Delayed) {
    co_await Sleep(context_, delay_);
  }
  while (open() && (aPair->blackholed_ || fault_ == LinkFault::Paused)) {
    co_await Sleep(context_, kPollInterval);
  }
  const auto lost =
    fault_ == (aToUpstream ? LinkFault::NoRequests : LinkFault::NoResponses);
  // A connection that lost bytes forwards none from then on, in either
  // direction.
  aPair->blackholed_ = aPair->blackholed_ || lost;
  co_return open() && !lost;
}

auto LoopbackProxy::Forward(std::shared_ptr<ConnectionPair> aPair,
                            bool aToUpstream) -> Task<void>
{
  auto& from = aToUpstream ? aPair->downstream_ : aPair->upstream_;
  auto& to = aToUpstream ? aPair->upstream_ : aPair->downstream_;
  std::vector<char> block(kBlockSize);
  for (;;) {
    const auto [error, size] =
      co_await from.async_read_some(asio::buffer(block), kAsTuple);
    if (error == asio::error::connection_reset) {
      ResetSocket(to);
    }
    if (error) {
      break;
    }
    const auto forwards = co_await ApplyFault(aPair, aToUpstream);
    if (!forwards) {
      continue;
    }
    const auto [writeError, written] = co_await asio::async_write(
      to, asio::buffer(block.data(), size), kAsTuple);
    if (writeError) {
      break;
    }
  }
  // TCP delivers no end of a stream after lost bytes.
  while (!aToUpstream && aPair->blackholed_ && to.is_open()) {
    co_await Sleep(context_, kPollInterval);
  }
  // Forwards the end of the stream as a half-close, so that data in flight
  // arrives before it.
  boost::system::error_code ignored;
  to.shutdown(Tcp::socket::shutdown_send, ignored);
  if (aToUpstream) {
    from.close(ignored);
  }
}

} // namespace soak

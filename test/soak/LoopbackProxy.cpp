#include "LoopbackProxy.h"

namespace soak {

using namespace goldcrestcroft;

namespace {

/** How often a held direction looks whether it may go on. */
constexpr auto kLook = std::chrono::milliseconds{ 10 };
constexpr std::size_t kBlock = 16384;

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

auto LoopbackProxy::Set(LinkFault aFault, std::chrono::milliseconds aDelay)
  -> void
{
  fault_ = aFault;
  delay_ = aDelay;
  std::erase_if(pairs_, [](const auto& aPair) { return aPair.expired(); });
  for (const auto& weak : pairs_) {
    const auto pair = weak.lock();
    if (aFault == LinkFault::Mute) {
      pair->mute_ = true;
    } else if (aFault == LinkFault::Reset) {
      ResetSocket(pair->near_);
      ResetSocket(pair->far_);
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
    const auto pair = std::make_shared<Pair>(
      Pair{ .near_ = std::move(socket), .far_ = Tcp::socket(context_) });
    pairs_.push_back(pair);
    asio::co_spawn(context_, Connect(pair), asio::detached);
  }
}

auto LoopbackProxy::Connect(std::shared_ptr<Pair> aPair) -> Task<void>
{
  const auto [error] = co_await aPair->far_.async_connect(target_, kAsTuple);
  if (error) {
    ResetSocket(aPair->near_);
    co_return;
  }
  SetSocketOptions(aPair->near_);
  SetSocketOptions(aPair->far_);
  asio::co_spawn(context_, Pump(aPair, true), asio::detached);
  asio::co_spawn(context_, Pump(aPair, false), asio::detached);
}

auto LoopbackProxy::Pass(std::shared_ptr<Pair> aPair, bool aToFar) -> Task<bool>
{
  const auto open = [&] {
    return aPair->near_.is_open() && aPair->far_.is_open();
  };
  if (fault_ == LinkFault::Delayed) {
    co_await Sleep(context_, delay_);
  }
  while (open() && (aPair->mute_ || fault_ == LinkFault::Held)) {
    co_await Sleep(context_, kLook);
  }
  const auto lost =
    fault_ == (aToFar ? LinkFault::NoRequests : LinkFault::NoAnswers);
  // A connection that lost bytes stays cut in that direction.
  aPair->mute_ = aPair->mute_ || lost;
  co_return open() && !lost;
}

auto LoopbackProxy::Pump(std::shared_ptr<Pair> aPair, bool aToFar) -> Task<void>
{
  auto& from = aToFar ? aPair->near_ : aPair->far_;
  auto& to = aToFar ? aPair->far_ : aPair->near_;
  std::vector<char> block(kBlock);
  for (;;) {
    const auto [error, size] =
      co_await from.async_read_some(asio::buffer(block), kAsTuple);
    if (error) {
      break;
    }
    const auto passes = co_await Pass(aPair, aToFar);
    if (!passes) {
      continue;
    }
    const auto [writeError, written] = co_await asio::async_write(
      to, asio::buffer(block.data(), size), kAsTuple);
    if (writeError) {
      break;
    }
  }
  // An end is passed on as it came: what is on its way arrives before it.
  boost::system::error_code ignored;
  to.shutdown(Tcp::socket::shutdown_send, ignored);
  if (aToFar) {
    from.close(ignored);
  }
}

} // namespace soak

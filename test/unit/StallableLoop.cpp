#include "StallableLoop.h"

#include <thread>

namespace testing {

using namespace goldcrestcroft;

StallableLoop::StallableLoop()
  : acceptor_(outside_)
{
  constexpr auto kBacklog = 1024;
  acceptor_.open(Tcp::v4());
  acceptor_.bind(ParseTcpEndpoint("127.0.0.1:0"));
  acceptor_.listen(kBacklog);
}

auto StallableLoop::Poll() -> void
{
  context_.restart();
  context_.poll();
}

auto StallableLoop::Stall(std::chrono::milliseconds aTime) -> void
{
  constexpr auto kMargin = std::chrono::milliseconds{ 20 };
  std::this_thread::sleep_for(aTime + kMargin);
}

auto StallableLoop::Address() -> std::string
{
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

auto StallableLoop::Accept() -> Tcp::socket
{
  Tcp::socket socket(context_);
  acceptor_.accept(socket);
  return socket;
}

auto StallableLoop::TryAccept(Tcp::socket& aInto) -> bool
{
  boost::system::error_code error;
  acceptor_.non_blocking(true);
  acceptor_.accept(aInto, error);
  return !error;
}

auto StallableLoop::Connect() -> Tcp::socket
{
  Tcp::socket socket(outside_);
  socket.connect(acceptor_.local_endpoint());
  return socket;
}

StalledTraffic::StalledTraffic(StallableLoop& aLoop,
                               const PlatformCodec* aCodec)
  : loop_(aLoop)
  , traffic_(aLoop.Context(), {}, aCodec == nullptr ? ownCodec_ : *aCodec,
             store_, metrics_,
             { .lost_ = [](const auto&) {},
               .suspect_ = [](const auto&) {},
               .leaving_ = [](const auto&) {} })
{
}

StalledTraffic::~StalledTraffic()
{
  // Handlers that the loop still holds refer to the traffic.
  for (const auto& connection : connections_) {
    connection->End(CallerCloseReason::HostStops);
  }
  loop_.Poll();
}

auto StalledTraffic::SetLimits(const ClientLimits& aLimits) -> void
{
  const Route route{ .name_ = "r",
                     .host_ = "try.example",
                     .prefix_ = "/",
                     .timeout_ = std::chrono::seconds{ 3 } };
  traffic_.SetRouting(
    std::make_shared<const RoutingTable>(RoutingTable::Options{
      .version_ = ++version_, .routes_ = { route }, .limits_ = aLimits }));
}

auto StalledTraffic::AddCaller() -> Tcp::socket
{
  auto caller = loop_.Connect();
  const auto connection =
    std::make_shared<CallerConnection>(loop_.Accept(), traffic_);
  connections_.push_back(connection);
  asio::co_spawn(loop_.Context(), connection->Run(), asio::detached);
  return caller;
}

auto ReadWaiting(Tcp::socket& aSocket) -> std::string
{
  std::string text;
  boost::system::error_code error;
  aSocket.non_blocking(true);
  while (!error) {
    char bytes[4096];
    const auto size = aSocket.read_some(asio::buffer(bytes), error);
    text.append(bytes, size);
  }
  return text;
}

} // namespace testing

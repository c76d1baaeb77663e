#include "PeerSocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>
#include <vector>

namespace goldcrestcroft {

namespace {

constexpr std::size_t kReceiveBufferBytes = 65'536;

auto ToSystem(const Endpoint& aEndpoint) -> sockaddr_in
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port_);
  inet_pton(AF_INET, aEndpoint.ip_.c_str(), &address.sin_addr);
  return address;
}

} // namespace

auto PeerSocket::Open(const Endpoint& aListen) -> Result<PeerSocket>
{
  PeerSocket opened(
    socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const auto address = ToSystem(aListen);
  const auto bound =
    opened.descriptor_ >= 0 &&
    bind(opened.descriptor_, reinterpret_cast<const sockaddr*>(&address),
         sizeof(address)) == 0;
  if (!bound) {
    return Fail(
      { .kind_ = ErrorKind::Unavailable,
        .message_ = "peers.listen " + aListen.ToString() + " cannot be bound",
        .remedy_ = "stop what uses the port or choose another" });
  }
  return opened;
}

PeerSocket::PeerSocket(PeerSocket&& aOther) noexcept
  : descriptor_(std::exchange(aOther.descriptor_, -1))
{
}

PeerSocket::~PeerSocket()
{
  if (descriptor_ >= 0) {
    close(descriptor_);
  }
}

auto PeerSocket::Send(const Endpoint& aTo, const std::string& aDatagram) const
  -> void
{
  const auto address = ToSystem(aTo);
  // The next heartbeat makes up for a lost datagram.
  [[maybe_unused]] const auto sent =
    sendto(descriptor_, aDatagram.data(), aDatagram.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

auto PeerSocket::Receive() const -> std::optional<Received>
{
  std::vector<char> buffer(kReceiveBufferBytes);
  sockaddr_in from{};
  socklen_t size = sizeof(from);
  const auto received =
    recvfrom(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT,
             reinterpret_cast<sockaddr*>(&from), &size);
  if (received < 0) {
    return std::nullopt;
  }
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &from.sin_addr, text, sizeof(text));
  return Received{ .datagram_ = std::string(buffer.data(),
                                            static_cast<std::size_t>(received)),
                   .from_ = { .ip_ = text, .port_ = ntohs(from.sin_port) } };
}

} // namespace goldcrestcroft

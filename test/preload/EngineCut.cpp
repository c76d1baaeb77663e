#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <thread>

namespace {

/** Ports of the engines of the platform stand-in. */
constexpr std::uint16_t kFirstPort = 7301;
constexpr std::uint16_t kLastPort = 7399;
constexpr auto kMaxDescriptors = 4096;

using Connect = int (*)(int, const sockaddr*, socklen_t);

auto RealConnect() -> Connect
{
  static const auto real =
    reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  return real;
}

auto IsCut() -> bool
{
  const auto* file = std::getenv("ENGINE_CUT");
  return file != nullptr && access(file, F_OK) == 0;
}

auto IsEngine(const sockaddr* aAddress) -> bool
{
  if (aAddress->sa_family != AF_INET) {
    return false;
  }
  sockaddr_in address{};
  std::memcpy(&address, aAddress, sizeof(address));
  const auto port = ntohs(address.sin_port);
  return port >= kFirstPort && port <= kLastPort;
}

/** Address of a listening socket whose queue is full, so that connecting to it
 * hangs. */
auto MakeFullListener() -> sockaddr_in
{
  sockaddr_in address{ .sin_family = AF_INET };
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  const auto listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bind(listener, generic, sizeof(address));
  listen(listener, 0);
  socklen_t size = sizeof(address);
  getsockname(listener, generic, &size);
  constexpr auto kFilling = 4;
  for (auto i = 0; i < kFilling; ++i) {
    const auto filler =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    RealConnect()(filler, generic, size);
  }
  return address;
}

auto ShutDownEngines() -> void
{
  for (auto descriptor = 3; descriptor < kMaxDescriptors; ++descriptor) {
    sockaddr_storage peer{};
    socklen_t size = sizeof(peer);
    auto* address = reinterpret_cast<sockaddr*>(&peer);
    if (getpeername(descriptor, address, &size) == 0 && IsEngine(address)) {
      shutdown(descriptor, SHUT_RDWR);
    }
  }
}

/** Ends the connections to engines when the cut begins. */
[[gnu::constructor]] auto StartWatch() -> void
{
  if (std::getenv("ENGINE_CUT") == nullptr) {
    return;
  }
  constexpr useconds_t kInterval = 10'000;
  std::thread([] {
    for (auto wasCut = false;;) {
      const auto isCut = IsCut();
      if (isCut && !wasCut) {
        ShutDownEngines();
      }
      wasCut = isCut;
      usleep(kInterval);
    }
  }).detach();
}

} // namespace

/** While the file named by ENGINE_CUT exists, connecting to an engine fails, or
 * hangs if ENGINE_CUT_HANGS is set. */
extern "C" auto connect(int aSocket, const sockaddr* aAddress, socklen_t aSize)
  -> int
{
  if (!IsEngine(aAddress) || !IsCut()) {
    return RealConnect()(aSocket, aAddress, aSize);
  }
  if (std::getenv("ENGINE_CUT_HANGS") == nullptr) {
    errno = ECONNREFUSED;
    return -1;
  }
  static const auto full = MakeFullListener();
  return RealConnect()(aSocket, reinterpret_cast<const sockaddr*>(&full),
                       sizeof(full));
}

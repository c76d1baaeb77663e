#include "Fleet.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

namespace testing {

namespace {

/** A caller on a plain socket that can disconnect at any time. */
class SocketCaller
{
public:
  explicit SocketCaller(const std::string& aAddress)
    : descriptor_(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(
      std::stoi(aAddress.substr(aAddress.find(':') + 1))));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connect(descriptor_, reinterpret_cast<const sockaddr*>(&address),
            sizeof(address));
    const timeval timeout{ .tv_sec = 10, .tv_usec = 0 };
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  }
  ~SocketCaller() { close(descriptor_); }
  SocketCaller(const SocketCaller&) = delete;
  auto operator=(const SocketCaller&) -> SocketCaller& = delete;

  auto Write(const std::string& aBytes) const -> void
  {
    [[maybe_unused]] const auto sent =
      send(descriptor_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  }

  auto ReadUntil(const std::string& aMark) const -> std::string
  {
    std::string all;
    char buffer[4096];
    while (all.find(aMark) == std::string::npos) {
      const auto received = recv(descriptor_, buffer, sizeof(buffer), 0);
      if (received <= 0) {
        break;
      }
      all.append(buffer, static_cast<std::size_t>(received));
    }
    return all;
  }

private:
  int descriptor_;
};

auto RequestText(const std::string& aInput, bool aStream) -> std::string
{
  const auto body = json{
    { "input", aInput }, { "max_tokens", 6 }, { "stream", aStream }
  }.dump();
  return "POST /v1/pipelines/critique HTTP/1.1\r\nHost: x\r\n"
         "x-workspace: gallery\r\nx-deadline-ms: 4000\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("callers: no response reaches another caller when thousands "
          "disconnect and their descriptors are reused")
{
  Fleet fleet({ .hosts_ = 1, .engineStepMicroseconds_ = 1000, .slots_ = 64 });
  const auto address = fleet.HostAddress(0);
  constexpr auto kThreads = 8;
  constexpr auto kRounds = 150;
  std::atomic<int> correct = 0;
  std::atomic<int> wrong = 0;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (auto thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      for (auto round = 0; round < kRounds; ++round) {
        const auto name = std::to_string(thread) + "-" + std::to_string(round);
        for (auto i = 0; i < 2; ++i) {
          // Disconnects before its response arrives.
          const SocketCaller disconnecting(address);
          disconnecting.Write(RequestText("leaver " + name, i == 0));
          std::this_thread::sleep_for(
            std::chrono::microseconds(500 * ((round + thread + i) % 16)));
        }
        const auto stream = round % 2 == 0;
        const SocketCaller connected(address);
        connected.Write(RequestText("stayer " + name, stream));
        const auto reply =
          connected.ReadUntil(stream ? "0\r\n\r\n" : "\"text\":");
        const auto matches =
          reply.find(DigestOf("stayer " + name)) != std::string::npos;
        const auto first = reply.find("HTTP/1.1 ") == 0;
        const auto single = reply.rfind("HTTP/1.1 ") == 0;
        (matches && first && single ? correct : wrong) += 1;
        if (!(matches && first && single) && wrong < 3) {
          MESSAGE(reply);
        }
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  CHECK(wrong == 0);
  CHECK(correct == kThreads * kRounds);
}

TEST_CASE("callers: the next request on a keep-alive connection may follow a "
          "response at once, thousands of times")
{
  Fleet fleet({ .hosts_ = 1, .engineStepMicroseconds_ = 0 });
  constexpr auto kThreads = 16;
  constexpr auto kRounds = 400;
  std::atomic<int> correct = 0;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (auto thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      const SocketCaller caller(fleet.HostAddress(0));
      for (auto round = 0; round < kRounds; ++round) {
        const auto name = std::to_string(thread) + "-" + std::to_string(round);
        caller.Write(RequestText(name, false));
        const auto reply = caller.ReadUntil("\"}"); // the text comes last
        if (reply.find(DigestOf(name)) == std::string::npos) {
          return; // ignored, or the connection closed
        }
        ++correct;
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  CHECK(correct == kThreads * kRounds);
}

TEST_CASE("callers: a second request before the first response is ignored, and "
          "the first gets its own response")
{
  Fleet fleet({ .hosts_ = 1, .engineStepMicroseconds_ = 5000 });
  for (auto i = 0; i < 10; ++i) {
    const SocketCaller caller(fleet.HostAddress(0));
    const auto name = std::to_string(i);
    caller.Write(RequestText("slow " + name, false));
    std::this_thread::sleep_for(std::chrono::milliseconds{ 10 });
    caller.Write(RequestText("second " + name, false));
    const auto all = caller.ReadUntil("never in there");
    CHECK(all.find(DigestOf("slow " + name)) != std::string::npos);
    CHECK(all.find(DigestOf("second " + name)) == std::string::npos);
    CHECK(all.rfind("HTTP/1.1 ") == 0);
  }
}

} // namespace testing

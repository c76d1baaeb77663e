#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

namespace testing {

namespace {

using namespace goldcrestcroft;

/** Goal for a host of 120 MB, the smallest machine. */
constexpr std::size_t kMaxMegabytes = 100;
/** A tenth of the smallest limit of descriptors, 3,075. */
constexpr std::size_t kMaxDescriptors = 300;
constexpr auto kBodies = 60;
constexpr std::size_t kBodyBytes = 4'000'000;
/** Larger than max_body_bytes, 4,194,304. */
constexpr std::size_t kOversizedBytes = 6'000'000;
const std::string kRouted = "/unsafe/x";
const std::string kUnrouted = "/without/route";

/** \brief A platform with the documented limits of requests. */
auto Platform() -> standins::PlatformStandin::Options
{
  return { .maxHeaderBytes_ = 16'384, .maxBodyBytes_ = 4'194'304 };
}

auto ReadStatus(EntryFleet& aFleet, const std::string& aKey) -> std::size_t
{
  std::ifstream file("/proc/" + std::to_string(aFleet.ProcessOf(0).Pid()) +
                     "/status");
  std::size_t kilobytes = 0;
  for (std::string word; file >> word;) {
    if (word == aKey) {
      file >> kilobytes;
    }
  }
  return kilobytes / 1024;
}

auto Descriptors(EntryFleet& aFleet) -> std::size_t
{
  const std::filesystem::directory_iterator entries(
    "/proc/" + std::to_string(aFleet.ProcessOf(0).Pid()) + "/fd");
  return static_cast<std::size_t>(
    std::distance(begin(entries), std::filesystem::directory_iterator{}));
}

auto ListenerAddress(unsigned aUse) -> std::string
{
  return standins::TestIp() + ":" + std::to_string(8300 + aUse);
}

/** \brief Clients that never read and stay connected until destroyed. */
class Clients
{
public:
  Clients(const std::string& aAddress, int aCount)
  {
    for (auto i = 0; i < aCount; ++i) {
      sockets_.emplace_back(context_);
      boost::system::error_code ignored;
      sockets_.back().connect(ParseTcpEndpoint(aAddress), ignored);
    }
  }

  /** \brief Each client sends the bytes, in turn, in pieces. Gives up once the
   * host has taken nothing from any of them for a while, as when it does not
   * read. */
  auto Send(const std::string& aBytes, std::size_t aPiece) -> void
  {
    constexpr auto kMaxIdleRounds = 50;
    std::vector<std::size_t> sent(sockets_.size());
    for (auto idle = 0; idle < kMaxIdleRounds; ++idle) {
      for (std::size_t i = 0; i < sockets_.size(); ++i) {
        const auto size = std::min(aPiece, aBytes.size() - sent[i]);
        const auto taken = send(sockets_[i].native_handle(), &aBytes[sent[i]],
                                size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (taken > 0) {
          sent[i] += static_cast<std::size_t>(taken);
          idle = 0;
        }
      }
      if (idle > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
      }
    }
  }

private:
  asio::io_context context_;
  std::vector<Tcp::socket> sockets_;
};

auto Head(const std::string& aMethod, const std::string& aTarget,
          const std::string& aFields) -> std::string
{
  return aMethod + " " + aTarget +
         " HTTP/1.1\r\nHost: try.example\r\nX-Api-Key: key1\r\n"
         "Goldcrestcroft-Deadline-Ms: 2500\r\n" +
         aFields;
}

auto BodyOfLength(const std::string& aTarget, std::size_t aAnnounced,
                  std::size_t aSent) -> std::string
{
  return Head("POST", aTarget,
              "Content-Length: " + std::to_string(aAnnounced) + "\r\n\r\n") +
         std::string(aSent, 'x');
}

/** \brief A body in chunks of 4 KB without the last chunk. */
auto ChunkedBody(const std::string& aTarget, std::size_t aBytes) -> std::string
{
  const auto chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
  auto text = Head("POST", aTarget, "Transfer-Encoding: chunked\r\n\r\n");
  for (std::size_t sent = 0; sent < aBytes; sent += 4096) {
    text += chunk;
  }
  return text;
}

/** \brief Very many short fields below max_header_bytes, 16,384. */
auto ShortFields() -> std::string
{
  std::string fields;
  for (auto i = 0; i < 3100; ++i) {
    fields += "a:b\r\n";
  }
  return fields;
}

/** \brief Checks the host while the clients are still connected. */
auto CheckHost(EntryFleet& aFleet) -> void
{
  CHECK(aFleet.ProcessOf(0).IsRunning());
  CHECK(Descriptors(aFleet) < kMaxDescriptors);
  // A host whose connections are used up may turn some attempts away.
  constexpr auto kAttempts = 20;
  auto answered = false;
  for (auto i = 0; i < kAttempts && !answered; ++i) {
    answered = aFleet.Get(0, "/safe/x").status_ == 200;
  }
  CHECK(answered);
  CHECK(aFleet.IsReady(0));
  CHECK(aFleet.Directory(0).status_ == 200);
  CHECK(ReadStatus(aFleet, "VmHWM:") < kMaxMegabytes);
}

auto CheckBodies(const std::string& aBytes, std::size_t aPiece) -> void
{
  EntryFleet fleet(1, Platform());
  REQUIRE(fleet.AwaitReady(0));
  Clients clients(fleet.CallerAddress(0), kBodies);
  clients.Send(aBytes, aPiece);
  CheckHost(fleet);
}

} // namespace

TEST_CASE("bodies in one piece that stop one byte short do not use up the "
          "host's memory")
{
  CheckBodies(BodyOfLength(kRouted, kBodyBytes, kBodyBytes - 1), kBodyBytes);
}

TEST_CASE("bodies in small pieces that stop one byte short do not use up the "
          "host's memory")
{
  CheckBodies(BodyOfLength(kRouted, kBodyBytes, kBodyBytes - 1), 8192);
}

TEST_CASE("chunked bodies without an end do not use up the host's memory")
{
  CheckBodies(ChunkedBody(kRouted, kBodyBytes), 16'384);
}

TEST_CASE("a chunk header or trailer without an end does not use up the host's "
          "memory")
{
  constexpr std::size_t kBytes = 150'000'000;
  constexpr std::size_t kFieldBytes = 1000;
  std::string trailer = "0\r\n";
  while (trailer.size() < kBytes) {
    trailer += "f: " + std::string(kFieldBytes, 'x') + "\r\n";
  }
  const std::string framings[] = { "1;" + std::string(kBytes, 'e'), trailer };
  for (const auto* target : { "/unsafe/x", "/without/route" }) {
    for (const auto& framing : framings) {
      EntryFleet fleet(1, Platform());
      REQUIRE(fleet.AwaitReady(0));
      const auto bytes =
        Head("POST", target, "Transfer-Encoding: chunked\r\n\r\n") + framing;
      Clients clients(fleet.CallerAddress(0), 1);
      clients.Send(bytes, 65'536);
      Clients probes(ListenerAddress(1), 1);
      probes.Send(bytes, 65'536);
      CheckHost(fleet);
    }
  }
}

TEST_CASE("incomplete bodies without a route do not use up the host's memory")
{
  CheckBodies(BodyOfLength(kUnrouted, kBodyBytes, kBodyBytes - 1), kBodyBytes);
}

TEST_CASE("announced bodies far over the limit do not use up the host's memory")
{
  CheckBodies(BodyOfLength(kRouted, 1'000'000'000'000, kOversizedBytes),
              16'384);
}

TEST_CASE("chunked bodies far over the limit do not use up the host's memory")
{
  CheckBodies(ChunkedBody(kUnrouted, kOversizedBytes), 16'384);
}

TEST_CASE("many short header fields do not use up the host's memory")
{
  constexpr auto kClients = 600;
  EntryFleet fleet(1, Platform());
  REQUIRE(fleet.AwaitReady(0));
  Clients clients(fleet.CallerAddress(0), kClients);
  clients.Send(
    Head("POST", kRouted, ShortFields() + "Content-Length: 10\r\n\r\n123"),
    16'384);
  CheckHost(fleet);
}

TEST_CASE("pipelined requests whose responses are not read do not use up the "
          "host's memory")
{
  constexpr auto kClients = 10;
  constexpr auto kRequests = 20'000;
  EntryFleet fleet(1, Platform());
  REQUIRE(fleet.AwaitReady(0));
  std::string requests;
  for (auto i = 0; i < kRequests; ++i) {
    requests += Head("GET", i % 2 == 0 ? "/safe/x" : kUnrouted, "\r\n");
  }
  Clients clients(fleet.CallerAddress(0), kClients);
  clients.Send(requests, 65'536);
  CheckHost(fleet);
}

TEST_CASE("clients that stall in the body do not keep others from being served")
{
  constexpr auto kClients = 250;
  EntryFleet fleet(1, Platform(), R"(, "most_callers": 200)");
  REQUIRE(fleet.AwaitReady(0));
  Clients clients(fleet.CallerAddress(0), kClients);
  clients.Send(BodyOfLength(kRouted, 1000, 500), 400);
  CheckHost(fleet);
}

TEST_CASE("clients that stall in the header do not use up the descriptors of "
          "readiness, directory and metrics")
{
  constexpr auto kClients = 200;
  EntryFleet fleet(1, Platform(), R"(, "max_listener_connections": 50)");
  REQUIRE(fleet.AwaitReady(0));
  Clients ready(ListenerAddress(1), kClients);
  Clients directory(ListenerAddress(2), kClients);
  Clients metrics(ListenerAddress(3), kClients);
  for (auto* clients : { &ready, &directory, &metrics }) {
    clients->Send("GET / HTTP/1.1\r\nHost: x\r\n" + ShortFields(), 16'384);
  }
  CheckHost(fleet);
}

TEST_CASE("clients that stall after the request line do not use up the "
          "descriptors of readiness, directory and metrics")
{
  constexpr auto kClients = 200;
  EntryFleet fleet(1, Platform(), R"(, "max_listener_connections": 50)");
  REQUIRE(fleet.AwaitReady(0));
  Clients ready(ListenerAddress(1), kClients);
  Clients directory(ListenerAddress(2), kClients);
  Clients metrics(ListenerAddress(3), kClients);
  for (auto* clients : { &ready, &directory, &metrics }) {
    clients->Send("GET / HTTP/1.1\r\nHost: x\r\n", 16'384);
  }
  CheckHost(fleet);
}

TEST_CASE("pipelined requests to readiness, directory and metrics whose "
          "responses are not read do not use up the host's memory")
{
  constexpr auto kClients = 20;
  EntryFleet fleet(1, Platform());
  REQUIRE(fleet.AwaitReady(0));
  std::string requests;
  for (auto i = 0; i < 20'000; ++i) {
    requests += "GET /resolve?name=try.example&zone=z1 HTTP/1.1\r\nHost: "
                "x\r\n\r\n";
  }
  for (const auto use : { 1U, 2U, 3U }) {
    Clients clients(ListenerAddress(use), kClients);
    clients.Send(requests, 65'536);
    CheckHost(fleet);
  }
}

} // namespace testing

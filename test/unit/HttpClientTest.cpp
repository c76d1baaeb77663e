#include <doctest/doctest.h>
#include <goldcrestcroft/src/Server/Http/HttpClient.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <thread>

namespace testing {

namespace {

using namespace goldcrestcroft;

/** Responds to the first request of a connection, reads the second and then
 * closes the connection and its listener. */
class DyingServer
{
public:
  DyingServer()
    : listener_(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(listener_, reinterpret_cast<const sockaddr*>(&address),
         sizeof(address));
    listen(listener_, 16);
    socklen_t size = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    url_ = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
    thread_ = std::thread([this] { Serve(); });
  }

  ~DyingServer()
  {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }

  DyingServer(const DyingServer&) = delete;
  auto operator=(const DyingServer&) -> DyingServer& = delete;

  [[nodiscard]] auto Url() const -> const std::string& { return url_; }

private:
  static auto ReadRequest(int aConnection) -> bool
  {
    std::string request;
    char byte = 0;
    while (request.find("\r\n\r\nbody") == std::string::npos) {
      if (recv(aConnection, &byte, 1, 0) != 1) {
        return false;
      }
      request += byte;
    }
    return true;
  }

  auto Serve() const -> void
  {
    constexpr std::string_view kResponse =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const auto connection = accept(listener_, nullptr, nullptr);
    if (ReadRequest(connection)) {
      send(connection, kResponse.data(), kResponse.size(), MSG_NOSIGNAL);
      ReadRequest(connection);
    }
    // A retry on a new connection is refused.
    shutdown(listener_, SHUT_RDWR);
    close(connection);
  }

  int listener_;
  std::string url_;
  std::thread thread_;
};

auto SendAndWait(HttpClient& aClient, HttpRequest aRequest) -> HttpResponse
{
  constexpr Duration kTimeout = std::chrono::seconds{ 5 };
  std::optional<HttpResponse> response;
  aRequest.timeout_ = kTimeout;
  aRequest.connectTimeout_ = kTimeout;
  aClient.Send(
    std::move(aRequest),
    { .onEnd_ = [&](const HttpResponse& aResponse) { response = aResponse; } });
  while (!response) {
    aClient.Poll(std::chrono::milliseconds{ 20 }, {});
  }
  return *response;
}

} // namespace

TEST_CASE("http client: a failed exchange does not affect the next one")
{
  const DyingServer dying;
  const DyingServer other;
  HttpClient client({});
  const HttpRequest post{ .url_ = dying.Url(), .body_ = "body" };
  CHECK(SendAndWait(client, post).end_ == HttpOutcome::Answered);
  CHECK(SendAndWait(client, post).end_ == HttpOutcome::Broken);
  CHECK(SendAndWait(client, { .url_ = other.Url(), .body_ = "body" }).end_ ==
        HttpOutcome::Answered);
}

} // namespace testing

#include "StallableLoop.h"
#include "ThrowingCodec.h"

#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/EngineExchange.h>
#include <goldcrestcroft/src/Gateway/PeerLink.h>
#include <platform/StoreClient.h>

#include <algorithm>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

/** More than one pass of an event loop handles, which is 128 events. */
constexpr std::size_t kMoreThanOnePass = 300;
/** Long enough to set up kMoreThanOnePass connections before it expires. */
constexpr auto kTimeout = milliseconds{ 300 };
constexpr auto kRequest = "GET /x HTTP/1.1\r\nHost: try.example\r\n"
                          "Goldcrestcroft-Request-Id: a\r\n\r\n";

auto MakeResponse(std::size_t aBytes) -> std::string
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBytes) +
         "\r\n\r\n" + std::string(aBytes, 'x');
}

/** One exchange with an engine, bounded by one timeout. */
struct TimedExchange
{
  std::shared_ptr<EngineConnection> connection_;
  std::string body_;
  std::optional<ReadOutcome> end_;
};

auto Run(TimedExchange& aExchange, const HeaderNames& aNames) -> Task<void>
{
  auto& connection = aExchange.connection_;
  connection->CloseAfter(kTimeout);
  std::string request = kRequest;
  const auto written = co_await connection->BeginWrite(std::move(request));
  EngineLease lease{ .connection_ = connection };
  MemoryAccount held;
  EngineExchange exchange(lease, aNames, held);
  auto end =
    written ? co_await exchange.ReadHead("", false) : ReadOutcome::Broken;
  if (end == ReadOutcome::Done) {
    end = co_await exchange.ReadAll(aExchange.body_, 1U << 20U);
  }
  connection->Disarm();
  aExchange.end_ = end;
}

/** Lets engines send complete responses while the loop stalls past the timeout.
 * Returns how many exchanges succeed on connections that stay open. */
auto CountCompleted(std::size_t aEngines, std::size_t aBytes) -> std::size_t
{
  StallableLoop loop;
  const platform::TableCodec codec;
  std::vector<TimedExchange> timedExchanges(aEngines);
  std::vector<Tcp::socket> engines;
  for (auto& timedExchange : timedExchanges) {
    timedExchange.connection_ =
      std::make_shared<EngineConnection>(loop.Context());
    auto connected = false;
    asio::co_spawn(
      loop.Context(),
      [&]() -> Task<void> {
        co_await timedExchange.connection_->Connect(loop.Address(), kTimeout);
        connected = true;
      },
      asio::detached);
    REQUIRE(loop.RunUntil([&] { return connected; }));
    engines.push_back(loop.Accept());
  }
  for (auto& timedExchange : timedExchanges) {
    asio::co_spawn(loop.Context(), Run(timedExchange, codec.Headers()),
                   asio::detached);
  }
  loop.Poll();
  for (auto& engine : engines) {
    asio::write(engine, asio::buffer(MakeResponse(aBytes)));
  }
  StallableLoop::Stall(kTimeout);
  REQUIRE(loop.RunUntil([&] {
    return std::all_of(timedExchanges.begin(), timedExchanges.end(),
                       [](const auto& aExchange) { return aExchange.end_; });
  }));
  return static_cast<std::size_t>(std::count_if(
    timedExchanges.begin(), timedExchanges.end(), [&](const auto& aExchange) {
      return aExchange.end_ == ReadOutcome::Done &&
             aExchange.body_.size() == aBytes &&
             aExchange.connection_->IsOpen() &&
             !aExchange.connection_->TimedOut();
    }));
}

/** Lets callers send complete requests while the loop stalls past the idle
 * timeout. Returns how many of them are answered. */
auto CountAnswered(std::size_t aCallers) -> std::size_t
{
  StallableLoop loop;
  StalledTraffic traffic(loop);
  traffic.SetLimits({ .idleTimeout_ = kTimeout });
  std::vector<Tcp::socket> callers;
  while (callers.size() < aCallers) {
    callers.push_back(traffic.AddCaller());
  }
  loop.Poll();
  for (auto& caller : callers) {
    asio::write(caller, asio::buffer(std::string(kRequest)));
  }
  StallableLoop::Stall(kTimeout);
  std::vector<std::string> answers(callers.size());
  const auto countWhole = [&] {
    for (std::size_t i = 0; i < callers.size(); ++i) {
      answers[i] += ReadWaiting(callers[i]);
    }
    return static_cast<std::size_t>(
      std::count_if(answers.begin(), answers.end(), [](const auto& aText) {
        return aText.starts_with("HTTP/1.1 ") && aText.ends_with("}");
      }));
  };
  loop.RunUntil([&] { return countWhole() == aCallers; });
  return countWhole();
}

} // namespace

TEST_CASE(
  "a request that arrived completely while the loop was stalled is answered")
{
  CHECK(CountAnswered(1) == 1);
}

TEST_CASE("requests that arrived while the loop was stalled are answered, also "
          "if they are more than one pass of the loop handles")
{
  CHECK(CountAnswered(kMoreThanOnePass) == kMoreThanOnePass);
}

TEST_CASE("an engine's response that arrived completely while the loop was "
          "stalled is read, and the connection stays open")
{
  CHECK(CountCompleted(1, 100) == 1);
  CHECK(CountCompleted(1, 50'000) == 1);
}

TEST_CASE("responses that arrived while the loop was stalled are read, also if "
          "they are more than one pass of the loop handles")
{
  CHECK(CountCompleted(kMoreThanOnePass, 100) == kMoreThanOnePass);
}

TEST_CASE("a body within a limit that was raised while the connection was idle "
          "is accepted")
{
  StallableLoop loop;
  StalledTraffic traffic(loop);
  traffic.SetLimits({ .maxBodyBytes_ = 4 });
  auto caller = traffic.AddCaller();
  loop.Poll();
  traffic.SetLimits({ .maxBodyBytes_ = 100 });
  asio::write(caller,
              asio::buffer(std::string("POST /x HTTP/1.1\r\nHost: x\r\n"
                                       "Goldcrestcroft-Request-Id: a\r\n"
                                       "Content-Length: 8\r\n\r\n12345678")));
  std::string response;
  REQUIRE(loop.RunUntil([&] {
    response += ReadWaiting(caller);
    return response.ends_with("}");
  }));
  CHECK(response.find(" 413 ") == std::string::npos);
}

TEST_CASE("a request whose serving fails unexpectedly is answered")
{
  StallableLoop loop;
  const ThrowingCodec codec;
  StalledTraffic traffic(loop, &codec);
  traffic.SetLimits({});
  auto caller = traffic.AddCaller();
  asio::write(caller, asio::buffer(std::string(kRequest)));
  std::string response;
  CHECK(loop.RunUntil([&] {
    response += ReadWaiting(caller);
    return response.ends_with("}");
  }));
  CHECK(response.starts_with("HTTP/1.1 502 "));
}

TEST_CASE("a peer link that connected while the loop was stalled stays open")
{
  StallableLoop loop;
  auto ended = false;
  const auto link = std::make_shared<PeerLink>(
    Tcp::socket(loop.Context()),
    PeerLink::Options{ .onFrame_ = [](const auto&, auto) {},
                       .onEnd_ = [&](const auto&) { ended = true; },
                       .connectTimeout_ = kTimeout });
  link->ConnectTo(loop.Address());
  Tcp::socket other(loop.Context());
  // Runs one handler at a time, so that the loop has not noticed the connection
  // yet.
  while (!loop.TryAccept(other)) {
    loop.Context().restart();
    loop.Context().poll_one();
  }
  StallableLoop::Stall(kTimeout);
  loop.Poll();
  loop.Poll();
  CHECK(link->WasConnected());
  CHECK(link->IsOpen());
  CHECK_FALSE(ended);
  link->Close();
  loop.Poll();
}

TEST_CASE("a reply of the store that arrived completely while the loop was "
          "stalled is read, and the connection is reused")
{
  StallableLoop loop;
  platform::StoreClient store(
    loop.Context(), { .address_ = loop.Address(), .timeout_ = kTimeout });
  std::optional<StoreReply> reply;
  const auto startRequest = [&] {
    reply.reset();
    asio::co_spawn(
      loop.Context(),
      [&]() -> Task<void> {
        reply =
          co_await store.Follow(StoreTable::Engines, { .number_ = 1 }, {});
      },
      asio::detached);
  };
  const auto sendReply = [](Tcp::socket& aSocket) {
    const auto body =
      R"({"ver": 7, "rows": [], "rest": ")" + std::string(50'000, 'x') + "\"}";
    asio::write(aSocket,
                asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body));
  };
  startRequest();
  Tcp::socket server(loop.Context());
  REQUIRE(loop.RunUntil([&] { return loop.TryAccept(server); }));
  REQUIRE(loop.RunUntil([&] { return server.available() > 0; }));
  loop.Poll();
  sendReply(server);
  StallableLoop::Stall(kTimeout);
  REQUIRE(loop.RunUntil([&] { return reply.has_value(); }));
  CHECK(reply->end_ == StoreOutcome::Done);
  ReadWaiting(server);
  startRequest();
  REQUIRE(loop.RunUntil([&] { return server.available() > 0; }));
  sendReply(server);
  REQUIRE(loop.RunUntil([&] { return reply.has_value(); }));
  CHECK(reply->end_ == StoreOutcome::Done);
}

} // namespace testing

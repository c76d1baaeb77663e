#include "LoopStall.h"
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

/** More than one pass of a loop takes, which is 128 events. */
constexpr std::size_t kMany = 300;
/** Long enough to set up kMany connections before it is over. */
constexpr auto kTime = milliseconds{ 300 };
constexpr auto kRequest = "GET /x HTTP/1.1\r\nHost: try.example\r\n"
                          "Goldcrestcroft-Request-Id: a\r\n\r\n";

auto MakeAnswer(std::size_t aBytes) -> std::string
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBytes) +
         "\r\n\r\n" + std::string(aBytes, 'x');
}

/** One exchange under one time limit. */
struct Talk
{
  std::shared_ptr<EngineConnection> connection_;
  std::string body_;
  std::optional<ReadEnd> end_;
};

auto Run(Talk& aTalk, const HeaderNames& aNames) -> Task<void>
{
  auto& connection = aTalk.connection_;
  connection->CloseAfter(kTime);
  std::string request = kRequest;
  const auto written = co_await connection->BeginWrite(std::move(request));
  EngineLease lease{ .connection_ = connection };
  HeldBytes held;
  EngineExchange exchange(lease, aNames, held);
  auto end = written ? co_await exchange.ReadHead("", false) : ReadEnd::Broken;
  if (end == ReadEnd::Done) {
    end = co_await exchange.ReadAll(aTalk.body_, 1U << 20U);
  }
  connection->Disarm();
  aTalk.end_ = end;
}

/** Has engines answer whole while the loop stands still past the time. Returns
 * how many of the exchanges end well, on connections that stay open. */
auto CountSound(std::size_t aEngines, std::size_t aBytes) -> std::size_t
{
  LoopStall loop;
  const platform::TableCodec codec;
  std::vector<Talk> talks(aEngines);
  std::vector<Tcp::socket> engines;
  for (auto& talk : talks) {
    talk.connection_ = std::make_shared<EngineConnection>(loop.Context());
    auto connected = false;
    asio::co_spawn(
      loop.Context(),
      [&]() -> Task<void> {
        co_await talk.connection_->Connect(loop.Address(), kTime);
        connected = true;
      },
      asio::detached);
    REQUIRE(loop.RunUntil([&] { return connected; }));
    engines.push_back(loop.Accept());
  }
  for (auto& talk : talks) {
    asio::co_spawn(loop.Context(), Run(talk, codec.Headers()), asio::detached);
  }
  loop.Poll();
  for (auto& engine : engines) {
    asio::write(engine, asio::buffer(MakeAnswer(aBytes)));
  }
  LoopStall::StandStill(kTime);
  REQUIRE(loop.RunUntil([&] {
    return std::all_of(talks.begin(), talks.end(),
                       [](const auto& aTalk) { return aTalk.end_; });
  }));
  return static_cast<std::size_t>(
    std::count_if(talks.begin(), talks.end(), [&](const auto& aTalk) {
      return aTalk.end_ == ReadEnd::Done && aTalk.body_.size() == aBytes &&
             aTalk.connection_->IsOpen() && !aTalk.connection_->TimedOut();
    }));
}

/** Has callers send whole requests while the loop stands still past the idle
 * time. Returns how many of them are answered. */
auto CountAnswered(std::size_t aCallers) -> std::size_t
{
  LoopStall loop;
  StalledTraffic traffic(loop);
  traffic.SetLimits({ .idleTimeout_ = kTime });
  std::vector<Tcp::socket> callers;
  while (callers.size() < aCallers) {
    callers.push_back(traffic.AddCaller());
  }
  loop.Poll();
  for (auto& caller : callers) {
    asio::write(caller, asio::buffer(std::string(kRequest)));
  }
  LoopStall::StandStill(kTime);
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

TEST_CASE("a request that came whole while the loop stood still is answered")
{
  CHECK(CountAnswered(1) == 1);
}

TEST_CASE("so are more requests than one pass of the loop takes")
{
  CHECK(CountAnswered(kMany) == kMany);
}

TEST_CASE("an engine's answer that came whole while the loop stood still is "
          "read, and the connection stays")
{
  CHECK(CountSound(1, 100) == 1);
  CHECK(CountSound(1, 50'000) == 1);
}

TEST_CASE("so are more answers than one pass of the loop takes")
{
  CHECK(CountSound(kMany, 100) == kMany);
}

TEST_CASE("a body within a limit raised while the connection waited is taken")
{
  LoopStall loop;
  StalledTraffic traffic(loop);
  traffic.SetLimits({ .maxBodyBytes_ = 4 });
  auto caller = traffic.AddCaller();
  loop.Poll();
  traffic.SetLimits({ .maxBodyBytes_ = 100 });
  asio::write(caller,
              asio::buffer(std::string("POST /x HTTP/1.1\r\nHost: x\r\n"
                                       "Goldcrestcroft-Request-Id: a\r\n"
                                       "Content-Length: 8\r\n\r\n12345678")));
  std::string answer;
  REQUIRE(loop.RunUntil([&] {
    answer += ReadWaiting(caller);
    return answer.ends_with("}");
  }));
  CHECK(answer.find(" 413 ") == std::string::npos);
}

TEST_CASE("a request whose serving fails unexpectedly is answered")
{
  LoopStall loop;
  const ThrowingCodec codec;
  StalledTraffic traffic(loop, &codec);
  traffic.SetLimits({});
  auto caller = traffic.AddCaller();
  asio::write(caller, asio::buffer(std::string(kRequest)));
  std::string answer;
  CHECK(loop.RunUntil([&] {
    answer += ReadWaiting(caller);
    return answer.ends_with("}");
  }));
  CHECK(answer.starts_with("HTTP/1.1 502 "));
}

TEST_CASE("a link that connected while the loop stood still stays")
{
  LoopStall loop;
  auto ended = false;
  const auto link = std::make_shared<PeerLink>(
    Tcp::socket(loop.Context()),
    PeerLink::Options{ .onFrame_ = [](const auto&, auto) {},
                       .onEnd_ = [&](const auto&) { ended = true; },
                       .connectTimeout_ = kTime });
  link->StartTo(loop.Address());
  Tcp::socket other(loop.Context());
  // One handler at a time, so that the loop has not seen that it connected.
  while (!loop.TryAccept(other)) {
    loop.Context().restart();
    loop.Context().poll_one();
  }
  LoopStall::StandStill(kTime);
  loop.Poll();
  loop.Poll();
  CHECK(link->WasConnected());
  CHECK(link->IsOpen());
  CHECK_FALSE(ended);
  link->Close();
  loop.Poll();
}

TEST_CASE("the store's answer that came whole while the loop stood still is "
          "read, and the connection serves on")
{
  LoopStall loop;
  platform::StoreClient store(
    loop.Context(), { .address_ = loop.Address(), .timeout_ = kTime });
  std::optional<StoreReply> reply;
  const auto ask = [&] {
    reply.reset();
    asio::co_spawn(
      loop.Context(),
      [&]() -> Task<void> {
        reply = co_await store.Follow(StoreTable::Engines, 1, {});
      },
      asio::detached);
  };
  const auto answer = [](Tcp::socket& aSocket) {
    const auto body =
      R"({"ver": 7, "rows": [], "rest": ")" + std::string(50'000, 'x') + "\"}";
    asio::write(aSocket,
                asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body));
  };
  ask();
  Tcp::socket server(loop.Context());
  REQUIRE(loop.RunUntil([&] { return loop.TryAccept(server); }));
  REQUIRE(loop.RunUntil([&] { return server.available() > 0; }));
  loop.Poll();
  answer(server);
  LoopStall::StandStill(kTime);
  REQUIRE(loop.RunUntil([&] { return reply.has_value(); }));
  CHECK(reply->end_ == StoreEnd::Done);
  ReadWaiting(server);
  ask();
  REQUIRE(loop.RunUntil([&] { return server.available() > 0; }));
  answer(server);
  REQUIRE(loop.RunUntil([&] { return reply.has_value(); }));
  CHECK(reply->end_ == StoreEnd::Done);
}

} // namespace testing

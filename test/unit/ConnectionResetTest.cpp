#include "StallableLoop.h"

#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/EngineExchange.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

constexpr auto kTimeout = milliseconds{ 5000 };
constexpr auto kUnframed = "HTTP/1.1 200 OK\r\n\r\npart of a bo";
constexpr std::size_t kSmallRequest = 100;
/** More than the sockets of both sides hold. */
constexpr std::size_t kLongRequest = 8'000'000;

/** An exchange on a connection whose engine is a socket of the test. */
class ExchangeFixture
{
public:
  explicit ExchangeFixture(std::size_t aRequestBytes)
  {
    Run([&]() -> Task<void> {
      co_await connection_->Connect(loop_.Address(), kTimeout);
    });
    engine_.emplace(loop_.Accept());
    Run([&]() -> Task<void> {
      co_await connection_->BeginWrite(std::string(aRequestBytes, 'x'));
    });
  }

  /** \brief The engine responds without a length and resets the connection. */
  auto RespondAndReset() -> void
  {
    Respond();
    engine_->set_option(asio::socket_base::linger(true, 0));
    engine_->close();
  }
  /** \brief The engine responds without a length and ends sending. */
  auto RespondAndEnd() -> void
  {
    Respond();
    engine_->shutdown(Tcp::socket::shutdown_send);
  }
  /** \brief Lets a pending write see what has become of the connection. */
  auto AdvanceWrite() -> void
  {
    loop_.Context().restart();
    loop_.Context().run_for(milliseconds{ 20 });
  }
  auto ReadHead() -> ReadOutcome
  {
    auto end = ReadOutcome::Paused;
    Run([&]() -> Task<void> { end = co_await exchange_.ReadHead("", false); });
    return end;
  }
  auto ReadBody() -> ReadOutcome
  {
    auto end = ReadOutcome::Paused;
    std::string body;
    Run([&]() -> Task<void> {
      end = co_await exchange_.ReadAll(body, 1U << 20U);
    });
    return end;
  }
  auto Connection() -> EngineConnection& { return *connection_; }
  [[nodiscard]] auto ConnectionState() const -> ConnectionEnd
  {
    return exchange_.End(0).connection_;
  }

private:
  auto Respond() -> void
  {
    asio::write(*engine_, asio::buffer(std::string_view(kUnframed)));
  }
  template<typename Function>
  auto Run(Function aFunction) -> void
  {
    auto done = false;
    asio::co_spawn(loop_.Context(), aFunction,
                   [&](const auto&) { done = true; });
    REQUIRE(loop_.RunUntil([&] { return done; }));
  }

  StallableLoop loop_;
  const platform::TableCodec codec_;
  MemoryAccount memory_;
  std::shared_ptr<EngineConnection> connection_ =
    std::make_shared<EngineConnection>(loop_.Context());
  std::optional<Tcp::socket> engine_;
  EngineExchange exchange_{ { .connection_ = connection_ },
                            codec_.Headers(),
                            memory_ };
};

} // namespace

TEST_CASE("a reset that the write of a request reports is not taken for the "
          "end of the response")
{
  ExchangeFixture fixture(kLongRequest);
  fixture.RespondAndReset();
  fixture.AdvanceWrite();
  CHECK(fixture.ReadHead() == ReadOutcome::Done);
  CHECK(fixture.ReadBody() == ReadOutcome::Broken);
  CHECK(fixture.ConnectionState() == ConnectionEnd::Reset);
}

TEST_CASE("a reset that a check for unread bytes reports is not taken for the "
          "end of the response")
{
  ExchangeFixture fixture(kSmallRequest);
  fixture.RespondAndReset();
  CHECK(fixture.ReadHead() == ReadOutcome::Done);
  REQUIRE(ProbeIdle(fixture.Connection().Socket()) == IdleState::Closed);
  CHECK(fixture.ReadBody() == ReadOutcome::Broken);
  CHECK(fixture.ConnectionState() == ConnectionEnd::Reset);
}

TEST_CASE("an orderly end of a response without a length completes it although "
          "the request is not written completely")
{
  ExchangeFixture fixture(kLongRequest);
  fixture.RespondAndEnd();
  fixture.AdvanceWrite();
  CHECK(fixture.ReadHead() == ReadOutcome::Done);
  CHECK(fixture.ReadBody() == ReadOutcome::Done);
  CHECK(fixture.ConnectionState() == ConnectionEnd::Closed);
  CHECK_FALSE(fixture.Connection().WriteDone());
}

} // namespace testing

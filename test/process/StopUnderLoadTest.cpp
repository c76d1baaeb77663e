#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <csignal>

namespace testing {

namespace {

using namespace goldcrestcroft;

/** \brief A caller whose bytes the test sends one by one. */
class ManualCaller
{
public:
  explicit ManualCaller(const std::string& aAddress)
    : socket_(context_)
  {
    socket_.connect(ParseTcpEndpoint(aAddress));
  }

  auto Send(const std::string& aBytes) -> void
  {
    boost::system::error_code error;
    asio::write(socket_, asio::buffer(aBytes), error);
  }
  /** \brief The status of the next complete response; 0 if there is none. */
  auto ReadStatus() -> int
  {
    http::response<http::string_body> answer;
    boost::system::error_code error;
    http::read(socket_, buffer_, answer, error);
    return error ? 0 : static_cast<int>(answer.result_int());
  }

private:
  asio::io_context context_;
  Tcp::socket socket_;
  beast::flat_buffer buffer_;
};

auto Head(const std::string& aTarget, const std::string& aId,
          std::size_t aBody = 0) -> std::string
{
  return "POST " + aTarget +
         " HTTP/1.1\r\nHost: try.example\r\nX-Api-Key: key1\r\n"
         "Goldcrestcroft-Request-Id: " +
         aId +
         "\r\nGoldcrestcroft-Deadline-Ms: 2500\r\n"
         "Goldcrestcroft-Pieces: 2,3\r\nGoldcrestcroft-Piece-Key: abc\r\n"
         "Content-Length: " +
         std::to_string(aBody) + "\r\n\r\n";
}

} // namespace

TEST_CASE("a planned stop responds to a request whose body is still arriving")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  fleet.ProcessOf(0).Signal(SIGTERM);
  const auto begun = std::chrono::steady_clock::now();
  // Some begin well before the host exits, some right before it.
  constexpr auto kCallers = 40;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  std::atomic<int> answered = 0;
  std::atomic<int> begins = 0;
  for (auto i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      std::this_thread::sleep_until(begun + std::chrono::milliseconds(50 * i));
      try {
        ManualCaller caller(fleet.CallerAddress(0));
        caller.Send(Head("/unsafe/x", "body-" + std::to_string(i), 4) + "ab");
        ++begins;
        std::this_thread::sleep_for(std::chrono::milliseconds{ 300 });
        caller.Send("cd");
        answered += caller.ReadStatus() != 0 ? 1 : 0;
      } catch (const boost::system::system_error&) {
        // The connection was refused, so the caller knows that nothing ran.
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  CHECK(begins > 10);
  CHECK(answered == begins);
  CHECK(fleet.ProcessOf(0).Wait() == 0);
}

TEST_CASE("a planned stop does not close a connection announced as keep-alive")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  for (const auto& engine : fleet.Platform().Engines("model")) {
    engine->pauseMs_ = 60;
  }
  ManualCaller caller(fleet.CallerAddress(0));
  caller.Send(Head("/once/stream/x", "stream"));
  CHECK(
    EntryFleet::Await([&] { return fleet.RunsOf("model", "stream") == 1; }));
  std::this_thread::sleep_for(std::chrono::milliseconds{ 100 });
  fleet.ProcessOf(0).Signal(SIGTERM);
  CHECK(caller.ReadStatus() == 200);
  caller.Send(Head("/unsafe/x", "next"));
  CHECK(caller.ReadStatus() == 200);
  CHECK(fleet.RunsOf("desk", "next") == 1);
  CHECK(fleet.ProcessOf(0).Wait() == 0);
}

} // namespace testing

#include "../platform/HttpServer.h"

#include <doctest/doctest.h>
#include <platform/StoreClient.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using standins::Reaction;

constexpr auto kAddress = "127.0.0.1:7290";
/** The store of a test that is red ends by itself. */
constexpr auto kMostCalls = 200;

/** \brief A client and a store that answers as the test says. */
class StoreWorld
{
public:
  explicit StoreWorld(std::function<Reaction(int)> aReact)
    : server_(context_, kAddress,
              [this, aReact](standins::Request) -> Task<Reaction> {
                co_return aReact(++calls_);
              })
    , client_(context_, { .address_ = kAddress })
  {
  }

  auto ReadAll() -> StoreReply
  {
    StoreReply reply;
    asio::co_spawn(
      context_,
      [&]() -> Task<void> {
        reply = co_await client_.ReadAll(StoreTable::Engines);
      },
      [&](const auto&) { context_.stop(); });
    context_.restart();
    context_.run();
    return reply;
  }
  [[nodiscard]] auto Calls() const -> int { return calls_; }

private:
  asio::io_context context_;
  int calls_ = 0;
  standins::HttpServer server_;
  platform::StoreClient client_;
};

auto Empty(int aVersion) -> std::string
{
  return R"({"rows": [], "truncated": false, "ver": )" +
         std::to_string(aVersion) + "}";
}

auto Page(const std::string& aKey, std::size_t aBytes) -> Reaction
{
  return { .body_ = R"({"rows": [{"table": "servers", "part": "", "key": ")" +
                    aKey + R"(", "ver": 1, "value": ")" +
                    std::string(aBytes, 'A') +
                    R"("}], "truncated": true, "ver": 1})" };
}

auto Answer(const std::string& aBody) -> std::string
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

} // namespace

TEST_CASE("an answer of the store that stops midway is taken for whole")
{
  const auto whole = Answer(Empty(7));
  const auto chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "10\r\n{\"rows\": [], \"ver\r\n8\r\n\": 7    }\r\n0\r\n\r\n";
  for (const std::string& answer : { whole, std::string(chunked) }) {
    for (std::size_t size = 0; size < answer.size(); size += 3) {
      CAPTURE(answer.substr(0, size));
      StoreWorld world([&](int) {
        return Reaction{ .raw_ = answer.substr(0, size),
                         .resets_ = size % 2 == 0 };
      });
      CHECK(world.ReadAll().end_ != StoreEnd::Done);
    }
  }
}

TEST_CASE("bytes after an answer of the store are not the next answer")
{
  StoreWorld world([](int aCall) {
    return Reaction{ .endless_ = standins::EndlessBytes{
                       .begin_ = Answer(Empty(aCall)) + Answer(Empty(99)),
                       .unit_ = "",
                       .pause_ = std::chrono::milliseconds{ 20 } } };
  });
  CHECK(world.ReadAll().version_ == 1);
  CHECK(world.ReadAll().version_ == 2);
  CHECK(world.Calls() == 2);
}

TEST_CASE("interim answers without end of the store are no answer")
{
  StoreWorld world([](int) {
    return Reaction{ .endless_ = standins::EndlessBytes{
                       .begin_ = "",
                       .unit_ = "HTTP/1.1 103 Early Hints\r\n\r\n" } };
  });
  CHECK(world.ReadAll().end_ == StoreEnd::Unanswered);
}

TEST_CASE("pages of the store that do not go on are no answer")
{
  StoreWorld world([](int aCall) {
    return aCall < kMostCalls ? Page("a", 4) : Reaction{ .drops_ = true };
  });
  CHECK(world.ReadAll().end_ != StoreEnd::Done);
  CHECK(world.Calls() == 2);
}

TEST_CASE("pages of the store without end are bounded")
{
  StoreWorld world([](int aCall) {
    return aCall < kMostCalls
             ? Page("a" + std::to_string(1000 + aCall), 1U << 20U)
             : Reaction{ .drops_ = true };
  });
  CHECK(world.ReadAll().end_ != StoreEnd::Done);
  CHECK(world.Calls() < 60);
}

} // namespace testing

#include "../platform/HttpServer.h"

#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/TableScan.h>
#include <platform/StoreClient.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using standins::ResponsePlan;

constexpr auto kAddress = "127.0.0.1:7290";
/** The store stops sending pages after this many calls, so that a failing test
 * terminates. */
constexpr auto kMaxCalls = 200;

/** \brief A client, and a store whose responses the test chooses. */
class StoreFixture
{
public:
  explicit StoreFixture(std::function<ResponsePlan(int)> aReact)
    : server_(context_, kAddress,
              [this, aReact](standins::Request) -> Task<ResponsePlan> {
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
        TableScan scan({});
        reply = co_await ReadTable(client_, StoreTable::Engines, scan);
      },
      [&](const auto&) { context_.stop(); });
    context_.restart();
    context_.run();
    return reply;
  }
  /** \brief Writes two rows at once; returns the replies of some seconds. */
  auto WriteTwo() -> std::vector<StoreReply>
  {
    std::vector<StoreReply> replies;
    for (const auto* key : { "a", "b" }) {
      asio::co_spawn(
        context_,
        [&, key]() -> Task<void> {
          replies.push_back(
            co_await client_.Write(StoreTable::Hosts, key, "value"));
        },
        [&](const auto&) {
          if (replies.size() == 2) {
            context_.stop();
          }
        });
    }
    context_.restart();
    context_.run_for(std::chrono::seconds{ 5 });
    return replies;
  }
  [[nodiscard]] auto Calls() const -> int { return calls_; }

private:
  asio::io_context context_;
  int calls_ = 0;
  standins::HttpServer server_;
  platform::StoreClient client_;
};

auto EmptyReply(int aVersion) -> std::string
{
  return R"({"rows": [], "truncated": false, "ver": )" +
         std::to_string(aVersion) + "}";
}

auto Page(const std::string& aKey, std::size_t aBytes) -> ResponsePlan
{
  return { .body_ = R"({"rows": [{"table": "servers", "part": "", "key": ")" +
                    aKey + R"(", "ver": 1, "value": ")" +
                    std::string(aBytes, 'A') +
                    R"("}], "truncated": true, "ver": 1})" };
}

auto OkResponse(const std::string& aBody) -> std::string
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

} // namespace

TEST_CASE("an incomplete response of the store is not accepted")
{
  const auto complete = OkResponse(EmptyReply(7));
  const auto chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "10\r\n{\"rows\": [], \"ver\r\n8\r\n\": 7    }\r\n0\r\n\r\n";
  const auto unframed = "HTTP/1.1 200 OK\r\n\r\n" + EmptyReply(7);
  for (const std::string& response :
       { complete, std::string(chunked), unframed }) {
    for (std::size_t size = 0; size < response.size(); size += 3) {
      CAPTURE(response.substr(0, size));
      StoreFixture fixture([&](int) {
        return ResponsePlan{ .raw_ = response.substr(0, size),
                             .rawEnd_ = size % 2 == 0
                                          ? standins::RawEnd::Resets
                                          : standins::RawEnd::Closes };
      });
      CHECK(fixture.ReadAll().end_ != StoreOutcome::Done);
    }
  }
}

TEST_CASE("a response of the store whose status is no status code is no reply")
{
  for (const auto* status : { "000", "099", "600", "999" }) {
    CAPTURE(status);
    StoreFixture fixture([&](int) {
      return ResponsePlan{ .raw_ = "HTTP/1.1 " + std::string(status) +
                                   " Trouble\r\nContent-Length: 0\r\n\r\n" };
    });
    CHECK(fixture.ReadAll().end_ == StoreOutcome::Unanswered);
  }
}

TEST_CASE("bytes after a response of the store are not the next response")
{
  StoreFixture fixture([](int aCall) {
    return ResponsePlan{ .endless_ = standins::EndlessBytes{
                           .begin_ = OkResponse(EmptyReply(aCall)) +
                                     OkResponse(EmptyReply(99)),
                           .unit_ = "",
                           .pause_ = std::chrono::milliseconds{ 20 } } };
  });
  CHECK(fixture.ReadAll().version_.number_ == 1);
  CHECK(fixture.ReadAll().version_.number_ == 2);
  CHECK(fixture.Calls() == 2);
}

TEST_CASE("endless interim responses of the store fail the call")
{
  StoreFixture fixture([](int) {
    return ResponsePlan{ .endless_ = standins::EndlessBytes{
                           .begin_ = "",
                           .unit_ = "HTTP/1.1 103 Early Hints\r\n\r\n" } };
  });
  CHECK(fixture.ReadAll().end_ == StoreOutcome::Unanswered);
}

TEST_CASE("pages of the store that do not advance fail the read")
{
  StoreFixture fixture([](int aCall) {
    return aCall < kMaxCalls ? Page("a", 4) : ResponsePlan{ .drops_ = true };
  });
  CHECK(fixture.ReadAll().end_ != StoreOutcome::Done);
  CHECK(fixture.Calls() == 2);
}

TEST_CASE("endless pages of the store are bounded and fail the read")
{
  StoreFixture fixture([](int aCall) {
    return aCall < kMaxCalls
             ? Page("a" + std::to_string(1000 + aCall), 1U << 20U)
             : ResponsePlan{ .drops_ = true };
  });
  CHECK(fixture.ReadAll().end_ != StoreOutcome::Done);
  CHECK(fixture.Calls() < 60);
}

TEST_CASE("the reason of a failed read names the page and what the store says")
{
  StoreFixture fixture([](int aCall) {
    return aCall == 1
             ? Page("k7", 4)
             : ResponsePlan{ .status_ = 400, .body_ = "invalid range" };
  });
  const auto reason = fixture.ReadAll().detail_;
  CAPTURE(reason);
  CHECK(reason.find("status 400: invalid range") != std::string::npos);
  CHECK(reason.find("from key 'k7', after 1 rows") != std::string::npos);
}

TEST_CASE("the era of a response applies to all its rows, and a response with "
          "an unreadable era is not accepted")
{
  const auto body = R"({"rows": [{"table": "servers", "part": "", "key": "e",)"
                    R"( "ver": 4, "value": ""}], "ver": 7})";
  std::string era;
  StoreFixture fixture([&](int) {
    return ResponsePlan{ .headers_ = { { "Store-Era", era } }, .body_ = body };
  });
  era = "3";
  const auto reply = fixture.ReadAll();
  CHECK(reply.end_ == StoreOutcome::Done);
  CHECK(reply.version_ == StoreVersion{ .era_ = 3, .number_ = 7 });
  REQUIRE(reply.rows_.size() == 1);
  CHECK(reply.rows_[0].version_ == StoreVersion{ .era_ = 3, .number_ = 4 });
  for (const auto* unreadable : { "", "x", "3x", "-1" }) {
    CAPTURE(unreadable);
    era = unreadable;
    CHECK(fixture.ReadAll().end_ == StoreOutcome::Unanswered);
  }
}

TEST_CASE("failures of the store report its era")
{
  for (const auto status : { 410, 412, 503 }) {
    StoreFixture fixture([&](int) {
      return ResponsePlan{ .status_ = status,
                           .headers_ = { { "Store-Era", "5" } } };
    });
    CHECK(fixture.ReadAll().version_.era_ == 5);
  }
}

TEST_CASE("pages of two eras are not one table")
{
  StoreFixture fixture([](int aCall) {
    auto page = Page("a" + std::to_string(aCall), 4);
    page.headers_ = { { "Store-Era", std::to_string(aCall) } };
    return page;
  });
  CHECK(fixture.ReadAll().end_ == StoreOutcome::HistoryDropped);
  CHECK(fixture.Calls() == 2);
}

TEST_CASE(
  "a write without a response times out although another one at the same "
  "time gets its response")
{
  constexpr auto kUnanswered = 4;
  StoreFixture fixture([](int aCall) {
    return ResponsePlan{ .body_ = EmptyReply(aCall),
                         .delay_ = std::chrono::milliseconds{
                           aCall == kUnanswered ? 60'000 : 20 } };
  });
  REQUIRE(fixture.WriteTwo().size() == 2);
  // Now a connection is open that both might use.
  const auto replies = fixture.WriteTwo();
  REQUIRE(replies.size() == 2);
  CHECK(replies[0].end_ == StoreOutcome::Done);
  CHECK(replies[1].end_ == StoreOutcome::Unanswered);
}

} // namespace testing

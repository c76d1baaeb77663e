#include "EndlessFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

const auto kPeerAddress = standins::TestIp() + ":8306";
/** Deadline of each call. */
constexpr auto kDeadline = std::chrono::milliseconds{ 2500 };

struct Case
{
  std::string name_;
  EndlessBytes bytes_;
};

auto Slowly(std::string aBegin, std::string aUnit) -> EndlessBytes
{
  return { .begin_ = std::move(aBegin),
           .unit_ = std::move(aUnit),
           .pause_ = std::chrono::milliseconds{ 20 } };
}

auto Hints() -> std::string
{
  return "HTTP/1.1 103 Early Hints\r\n\r\n";
}

auto Heads() -> std::vector<Case>
{
  return { { "a status line", { "HTTP/1.1 200 ", "x" } },
           { "bytes of no protocol", { "", "x" } },
           { "lines of a head", { kHead, "X-More: 1\r\n" } },
           { "interim answers", { "", Hints() } },
           { "blank lines", { "", "\r\n" } } };
}

auto SlowHeads() -> std::vector<Case>
{
  return { { "a slow status line", Slowly("HTTP/1.1 200 ", "x") },
           { "slow lines of a head", Slowly(kHead, "X-More: 1\r\n") },
           { "slow interim answers", Slowly("", Hints()) } };
}

auto Bodies() -> std::vector<Case>
{
  const auto chunked = kHead + "Transfer-Encoding: chunked\r\n\r\n";
  const auto failure = "HTTP/1.1 500 Error\r\nGoldcrestcroft-Request-Id: "
                       "@ID\r\nGoldcrestcroft-Server-Seal: s\r\n\r\n";
  const auto stray =
    "HTTP/1.1 200 OK\r\nGoldcrestcroft-Request-Id: another\r\n\r\n";
  return { { "a body", { kHead + "\r\n", "x" } },
           { "an extension of a chunk", { chunked + "1;", "x" } },
           { "chunks with extensions",
             { chunked, "1;" + std::string(4096, 'x') + "\r\nx\r\n" } },
           { "a trailer", { chunked + "0\r\n", "X-More: 1\r\n" } },
           { "the body of a failure", { failure, "x" } },
           { "a slow body of a failure", Slowly(failure, "x") },
           { "the body of a stray answer", { stray, "x" } },
           { "a slow body of a stray answer", Slowly(stray, "x") } };
}

auto Events() -> std::vector<Case>
{
  return { { "an event in one line", { kStream, "x" } },
           { "an event of many lines", { kStream, "data: x\n" } },
           { "an id", { kStream + "id: ", "1" } },
           { "a slow event in one line", Slowly(kStream, "x") },
           { "a slow event of many lines", Slowly(kStream, "data: x\n") } };
}

/** \brief The same bytes after one complete event. */
auto AfterEvent(EndlessBytes aBytes) -> EndlessBytes
{
  aBytes.begin_.insert(kStream.size(), "id: 1\ndata: @ID\n\n");
  return aBytes;
}

/** \brief Stops the endless bytes; successes clear the recorded failures. */
auto Recover(EntryFleet& aFleet, const std::string& aService,
             const std::string& aTarget) -> void
{
  SetEndless(aFleet, aService, {});
  for (auto i = 0; i < 2; ++i) {
    CHECK(
      EntryFleet::Await([&] { return aFleet.Get(0, aTarget).status_ == 200; }));
  }
  CHECK(EntryFleet::Await([&] { return EndlessOpen(aFleet, aService) == 0; }));
}

/** \brief In each case, a non-idempotent request runs once and fails with 502,
 * as from a broken engine; idempotent ones succeed if just one is affected. */
auto CheckFailsOnce(const std::vector<Case>& aCases) -> void
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  for (const auto& item : aCases) {
    CAPTURE(item.name_);
    SetEndless(fleet, "desk", item.bytes_);
    // 504 would mean that the request waited until its deadline.
    CHECK(
      fleet.Call(0, { .method_ = "POST", .target_ = "/unsafe/x" }).status_ ==
      502);
    CHECK(fleet.RunsOf("desk", fleet.LastId()) == 1);
    Recover(fleet, "desk", "/safe/x");
    fleet.Platform().Engines("desk")[0]->SetEndless(item.bytes_);
    for (auto i = 0; i < 2; ++i) {
      CHECK(fleet.Get(0, "/safe/x").status_ == 200);
    }
    Recover(fleet, "desk", "/safe/x");
  }
  CHECK(PeakMegabytes(fleet) < kHostMegabytes);
}

} // namespace

TEST_CASE("an endless head fails a request as a broken engine does")
{
  CheckFailsOnce(Heads());
}

TEST_CASE("a slow endless head does not delay a request until its deadline")
{
  CheckFailsOnce(SlowHeads());
}

TEST_CASE("an endless body fails a request as a broken engine does")
{
  CheckFailsOnce(Bodies());
}

TEST_CASE(
  "a stream of bytes that form no events is aborted before the deadline")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  auto cases = Events();
  cases.push_back({ "an extension of a chunk",
                    { kHead + "Transfer-Encoding: chunked\r\n\r\n1;", "x" } });
  for (const auto& item : cases) {
    CAPTURE(item.name_);
    SetEndless(fleet, "model", item.bytes_);
    CHECK(fleet.Get(0, "/once/stream/x").status_ == 502);
    CHECK(fleet.RunsOf("model", fleet.LastId()) == 1);
    if (item.bytes_.begin_.starts_with(kStream)) {
      SetEndless(fleet, "model", AfterEvent(item.bytes_));
      const auto sentAt = std::chrono::steady_clock::now();
      const auto begun = fleet.Get(0, "/once/stream/x");
      CHECK(std::chrono::steady_clock::now() - sentAt < kDeadline);
      CHECK(begun.status_ == 200);
      CHECK_FALSE(begun.whole_);
    }
    Recover(fleet, "model", "/once/stream/x");
  }
  CHECK(PeakMegabytes(fleet) < kHostMegabytes);
}

TEST_CASE("a stream resumes at another engine after an endless event")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  for (const auto& item : Events()) {
    CAPTURE(item.name_);
    for (const auto& bytes : { item.bytes_, AfterEvent(item.bytes_) }) {
      fleet.Platform().Engines("model")[0]->SetEndless(bytes);
      const auto stream = fleet.Get(0, "/stream/x");
      CHECK(stream.status_ == 200);
      CHECK(stream.whole_);
      CHECK(CountOf(stream.body_, "id: ") == 6);
      CHECK(CountOf(stream.body_, "data: " + fleet.LastId()) == 6);
    }
    Recover(fleet, "model", "/stream/x");
  }
}

TEST_CASE("many endless bodies fit the host's memory and fail no other request")
{
  constexpr auto kCallers = 40;
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  SetEndless(fleet, "desk", EndlessBytes{ kHead + "\r\n", "x" });
  std::vector<std::thread> callers;
  std::atomic<int> failed = 0;
  for (auto i = 0; i < kCallers; ++i) {
    auto call = fleet.MakeCall("/unsafe/x");
    call.method_ = "POST";
    callers.emplace_back([&, call] {
      failed += SendCall(fleet.CallerAddress(0), call).status_ == 502 ? 1 : 0;
    });
  }
  CHECK(fleet.Get(0, "/once/stream/x").whole_);
  for (auto& caller : callers) {
    caller.join();
  }
  CHECK(failed.load() == kCallers);
  CHECK(EntryFleet::Await([&] { return EndlessOpen(fleet, "desk") == 0; }));
  CHECK(PeakMegabytes(fleet) < kHostMegabytes);
  CHECK(fleet.ProcessOf(0).IsRunning());
}

TEST_CASE(
  "an endless response of a stage engine costs one attempt of the piece")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  for (const auto& cases : { Heads(), SlowHeads(), Bodies() }) {
    for (const auto& item : cases) {
      CAPTURE(item.name_);
      fleet.Platform().Engines("cutter")[0]->SetEndless(item.bytes_);
      CHECK(fleet.Get(0, "/stream/x").whole_);
      Recover(fleet, "cutter", "/stream/x");
    }
  }
  CHECK(PeakMegabytes(fleet) < kHostMegabytes);
}

TEST_CASE("bytes after a response are not part of the next one")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  const auto whole = kHead + "Content-Length: 2\r\n\r\nok";
  for (const auto& bytes :
       { EndlessBytes{ whole, "x" }, Slowly(whole, kHead + "\r\n") }) {
    SetEndless(fleet, "desk", bytes);
    for (auto i = 0; i < 4; ++i) {
      const auto answer = fleet.Get(0, "/safe/x");
      CHECK(answer.status_ == 200);
      CHECK(answer.body_ == "ok");
    }
    Recover(fleet, "desk", "/safe/x");
  }
}

TEST_CASE(
  "announced peer frames that never arrive do not use up the host's memory")
{
  constexpr auto kLinks = 40;
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  asio::io_context context;
  std::vector<Tcp::socket> links;
  for (auto i = 0; i < kLinks; ++i) {
    links.emplace_back(context);
    links.back().connect(ParseTcpEndpoint(kPeerAddress));
    // Announces a frame of 8 MB, and one that is too long on the last link.
    const auto first = i + 1 < kLinks ? '\0' : '\x7f';
    asio::write(links.back(), asio::buffer(std::string{ first, '\x7f', 0, 0 }));
  }
  char byte = 0;
  boost::system::error_code error;
  links.back().read_some(asio::buffer(&byte, 1), error);
  CHECK(error);
  CHECK(fleet.Get(0, "/safe/x").status_ == 200);
  CHECK(PeakMegabytes(fleet) < kHostMegabytes);
}

} // namespace testing

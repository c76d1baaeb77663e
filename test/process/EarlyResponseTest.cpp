#include "RawFleet.h"

namespace testing {

namespace {

using namespace std::chrono_literals;
using standins::EarlyEnd;
using standins::EarlyResponse;

/** More than the sockets of both sides hold, so that the host is still writing
 * when its response ends. */
constexpr std::size_t kUploadBytes = 3'900'000;
constexpr auto kRounds = 5;

/** A host whose callers may send such bodies. */
class UploadFleet : public RawFleet
{
public:
  UploadFleet()
    : RawFleet({ .maxBodyBytes_ = 4'000'000 })
  {
  }

  auto RespondEarly(const std::optional<EarlyResponse>& aResponse) -> void
  {
    ForEachEngine([&](auto& aEngine) { aEngine.SetEarlyResponse(aResponse); });
  }
  auto Upload(const std::string& aTarget) -> CallerResponse
  {
    return Fleet().Call(0, { .method_ = "POST",
                             .target_ = aTarget,
                             .body_ = std::string(kUploadBytes, 'u') });
  }
  /** \brief Lets uploads succeed, so that no engine is ejected. */
  auto Recover(const std::string& aTarget) -> void
  {
    RespondEarly(std::nullopt);
    CHECK(EntryFleet::Await([&] { return IsComplete(Upload(aTarget)); }));
  }
};

const std::vector<std::string> kTargets{ "/safe/x", "/unsafe/x", "/stream/x",
                                         "/once/stream/x" };

auto IsOnce(const std::string& aTarget) -> bool
{
  return aTarget == "/unsafe/x" || aTarget == "/once/stream/x";
}

/** No upload may come back as complete. On streams, the host writes to the
 * caller between its reads, so that a reset is more likely to be reported to
 * its write to the engine. */
auto CheckNeverComplete(const EarlyResponse& aResponse) -> void
{
  for (const auto& target : kTargets) {
    auto complete = 0;
    UploadFleet fleet;
    for (auto round = 0; round < kRounds; ++round) {
      fleet.RespondEarly(aResponse);
      const auto response = fleet.Upload(target);
      CHECK((response.status_ == 502 || response.status_ == 200));
      CHECK((!IsOnce(target) || fleet.RunsOfLast() == 1));
      complete += IsComplete(response) ? 1 : 0;
      fleet.Recover(target);
    }
    CAPTURE(target);
    CAPTURE(static_cast<int>(aResponse.end_));
    CAPTURE(aResponse.pause_.count());
    CHECK(complete == 0);
  }
}

const auto kUnframed = kHead + "\r\n" + kEvent;

} // namespace

TEST_CASE("a response without a length whose connection is reset during the "
          "upload is not delivered as complete")
{
  for (const auto pause : { 0ms, 5ms, 30ms }) {
    CheckNeverComplete(
      { .bytes_ = kUnframed, .end_ = EarlyEnd::Resets, .pause_ = pause });
  }
}

TEST_CASE("a response without a length whose engine closes before it has read "
          "the upload is not delivered as complete")
{
  for (const auto pause : { 0ms, 5ms, 30ms }) {
    CheckNeverComplete(
      { .bytes_ = kUnframed, .end_ = EarlyEnd::ClosesUnread, .pause_ = pause });
  }
  CheckNeverComplete({ .bytes_ = kUnframed, .end_ = EarlyEnd::EndsAndResets });
}

TEST_CASE("a failure without a length whose connection is reset during the "
          "upload is not delivered")
{
  const EarlyResponse failure{ .bytes_ = "HTTP/1.1 500 Error\r\n" +
                                         kSignedFields + "\r\nan err" };
  UploadFleet fleet;
  for (auto round = 0; round < kRounds; ++round) {
    fleet.RespondEarly(failure);
    CHECK(fleet.Upload("/unsafe/x").status_ == 502);
    fleet.Recover("/unsafe/x");
  }
}

TEST_CASE("a resumed stream without a length whose connection is reset during "
          "the upload is not delivered as complete")
{
  for (auto round = 0; round < kRounds; ++round) {
    UploadFleet fleet;
    fleet.RespondWith(kHead + "\r\n" + kEvent + "id: 2\nda");
    fleet.RespondEarly(EarlyResponse{
      .bytes_ = kHead + "\r\nid: 2\ndata: @ID\n\n", .onlyResumed_ = true });
    const auto stream = fleet.Upload("/stream/x");
    CHECK_FALSE(IsComplete(stream));
    CHECK(CountOf(stream.body_, "id: 2\n") == 1);
  }
}

TEST_CASE("a complete early response without a length is delivered")
{
  for (const auto& end : {
         EarlyResponse{ .bytes_ = kUnframed, .end_ = EarlyEnd::EndsAndReads },
         EarlyResponse{ .bytes_ = kUnframed,
                        .end_ = EarlyEnd::EndsAndResets,
                        .pause_ = 2000ms },
       }) {
    UploadFleet fleet;
    fleet.RespondEarly(end);
    for (const auto& target : kTargets) {
      for (auto round = 0; round < kRounds; ++round) {
        CAPTURE(target);
        CAPTURE(static_cast<int>(end.end_));
        const auto response = fleet.Upload(target);
        CHECK(IsComplete(response));
        CHECK(CountOf(response.body_, "data: " + fleet.LastId() + "\n\n") == 1);
        CHECK(fleet.RunsOfLast() == 1);
      }
    }
  }
}

TEST_CASE("a response with a length or chunks is delivered although its "
          "connection is reset during the upload")
{
  const auto size = "Content-Length: 2\r\n\r\nok";
  const auto chunks = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
  for (const auto* body : { size, chunks }) {
    UploadFleet fleet;
    fleet.RespondEarly(EarlyResponse{ .bytes_ = kHead + body });
    for (auto round = 0; round < kRounds; ++round) {
      CAPTURE(body);
      const auto response = fleet.Upload("/unsafe/x");
      CHECK(IsComplete(response));
      CHECK(response.body_ == "ok");
    }
  }
}

} // namespace testing

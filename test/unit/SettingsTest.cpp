#include "Failure.h"

#include <goldcrestcroft/Server.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

const std::string kMinimalSettings = R"({
  // comments are allowed
  "host": "h1", "availability_zone": "z",
  "callers": { "listen": "127.0.0.1:8001" },
  "peers": { "listen": "127.0.0.1:9001", "shared_key": "sixteen characters" }
})";

auto With(const std::string& aFrom, const std::string& aTo) -> std::string
{
  auto text = kMinimalSettings;
  return text.replace(text.find(aFrom), aFrom.size(), aTo);
}

auto FailureOf(const std::string& aText) -> Error
{
  return FailureOfResult([&] { return ParseSettings(aText); });
}

} // namespace

TEST_CASE("settings: a minimal document gets defaults")
{
  const auto settings =
    ValueOf([&] { return ParseSettings(kMinimalSettings); });
  CHECK(settings.host_.value_ == "h1");
  CHECK(settings.callers_.listen_ == Endpoint{ "127.0.0.1", 8001 });
  CHECK(settings.peers_.suspectAfter_ == 8 * settings.peers_.heartbeat_);
  CHECK(settings.jsonLogs_);
}

TEST_CASE("settings: each error names its key and a remedy")
{
  struct Case
  {
    std::string text_;
    std::string expectedText_;
  };
  const Case cases[] = {
    { "{", "not JSON" },
    { With(R"("host": "h1",)", ""), "'host' is missing" },
    { With(R"("h1")", R"("")"), "'host' is empty" },
    { With(R"("h1")", "5"), "'host' has the wrong type" },
    { With(R"("host")", R"("hots": 1, "host")"), "'hots' is not a known key" },
    { With("127.0.0.1:8001", "localhost:80"), "'callers.listen'" },
    { With("127.0.0.1:8001", "127.0.0.1:99999"), "'callers.listen'" },
    { With(R"("listen": "127.0.0.1:8001")",
           R"("listen": "127.0.0.1:8001", "threads": 0)"),
      "'callers.threads' is 0, out of range" },
    { With("sixteen characters", "short"), "'peers.shared_key' is too short" },
    { With(R"("shared_key")", R"("heartbeat_ms": 500, "suspect_after_ms": 600,
             "shared_key")"),
      "'peers.suspect_after_ms' is below two heartbeats" },
    { With(R"("shared_key")", R"("seeds": [ 5 ], "shared_key")"),
      "'peers.seeds'" },
    { With(R"("host")", R"("log_format": "xml", "host")"), "'log_format'" },
    { With(R"("host")", R"("log_level": "loud", "host")"), "'log_level'" },
  };
  for (const auto& each : cases) {
    const auto error = FailureOf(each.text_);
    CAPTURE(error.message_);
    CHECK(error.kind_ == ErrorKind::InvalidSettings);
    CHECK(error.message_.find(each.expectedText_) != std::string::npos);
    CHECK_FALSE(error.remedy_.empty());
  }
}

TEST_CASE("settings: the file name is part of the message")
{
  const auto error =
    FailureOfResult([] { return LoadSettings("no/such/file.json"); });
  CHECK(error.kind_ == ErrorKind::NotFound);
  CHECK(error.message_.find("no/such/file.json") == 0);
}

} // namespace testing

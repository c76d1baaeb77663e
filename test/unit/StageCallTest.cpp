#include "Failure.h"

#include <goldcrestcroft/Pipeline.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

auto Reads(StageKind aKind, const std::string& aBody, StageData aData = {})
  -> bool
{
  return Handle(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(ReadStageResponse(aKind, aBody, aData));
      return true;
    },
    [](const Error& aError) {
      CHECK(aError.kind_ == ErrorKind::Protocol);
      return false;
    });
}

} // namespace

TEST_CASE("stage call: incomplete or malformed responses are rejected")
{
  CHECK(Reads(StageKind::Encode, R"({"data":[{"embedding":[1]}]})"));
  CHECK_FALSE(Reads(StageKind::Encode, R"({"data":[{"embedding":[]}]})"));
  CHECK_FALSE(Reads(StageKind::Encode, R"({"data":[{"embed)"));
  CHECK(Reads(StageKind::Retrieve, R"({"hits":[{"text":"a"}]})"));
  CHECK_FALSE(Reads(StageKind::Retrieve, R"({"hits":[{"score":1}]})"));
  const StageData data{ .documents_ = { "a", "b" } };
  CHECK(
    Reads(StageKind::Rerank, R"({"results":[{"index":1},{"index":0}]})", data));
  CHECK_FALSE(Reads(StageKind::Rerank, R"({"results":[{"index":1}]})", data));
  CHECK_FALSE(
    Reads(StageKind::Rerank, R"({"results":[{"index":1},{"index":2}]})", data));
  CHECK(Reads(StageKind::Call, R"({"output":"x"})"));
  CHECK_FALSE(Reads(StageKind::Call, R"({"output":5})"));
}

TEST_CASE("event stream: complete only with a finish reason and [DONE]")
{
  const std::string first =
    "data: {\"choices\":[{\"text\":\"a b\",\"finish_reason\":null}]}\n\n";
  const std::string last =
    "data: {\"choices\":[{\"text\":\" c\",\"finish_reason\":\"stop\"}]}\n\n";
  const std::string closing = "data: [DONE]\n\n";
  EventStreamReader reader;
  std::string text;
  // The stream may be split at any byte.
  for (const auto byte : first + last + closing) {
    CHECK_FALSE(reader.IsComplete());
    text += ValueOf([&] { return reader.Feed(std::string(1, byte)); });
  }
  CHECK(reader.IsComplete());
  CHECK(text == "a b c");
  EventStreamReader cut;
  ValueOf([&] { return cut.Feed(first + closing); });
  CHECK_FALSE(cut.IsComplete());
  EventStreamReader broken;
  CHECK(FailureOfResult([&] {
          return broken.Feed("data: nonsense\n\n");
        }).kind_ == ErrorKind::Protocol);
}

TEST_CASE("stage call: a resumed completion carries the text so far")
{
  StageData data{ .input_ = { .text_ = "hi", .maxTokens_ = 4 } };
  CHECK(BuildStageBody(StageKind::Generate, data).find("resume_text") ==
        std::string::npos);
  data.text_ = "so far ";
  CHECK(BuildStageBody(StageKind::Generate, data)
          .find(R"("resume_text":"so far ")") != std::string::npos);
}

} // namespace testing

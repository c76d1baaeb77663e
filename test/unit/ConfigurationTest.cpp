#include "Failure.h"

#include <goldcrestcroft/Config.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

const std::string kDocument = R"({
  "workspaces": { "w": { "weight": 2 } },
  "pools": {
    "enc": { "kind": "encode", "licensed_copies": 1,
             "servers": { "e": { "address": "127.0.0.1:1" } } },
    "pay": { "kind": "call", "idempotent": false, "licensed_copies": 0 } },
  "pipelines": {
    "p": { "workspaces": [ "w" ], "stages": [ { "pool": "enc" } ] },
    "q": { "workspaces": [], "stages": [ { "pool": "enc" },
                                         { "pool": "pay", "name": "x" } ] } }
})";

auto Parse(const std::string& aDocument) -> Result<ConfigVersionPtr>
{
  return ConfigVersion::FromDocument(1, aDocument);
}

auto With(const std::string& aFrom, const std::string& aTo) -> std::string
{
  auto text = kDocument;
  return text.replace(text.find(aFrom), aFrom.size(), aTo);
}

} // namespace

TEST_CASE("configuration: parsed values and derived properties")
{
  const auto version = ValueOf([] { return Parse(kDocument); });
  const auto& content = version->Content();
  REQUIRE(content.FindPool({ "enc" }) != nullptr);
  CHECK(content.FindPool({ "enc" })->path_ == "/v1/embeddings");
  CHECK(content.FindServer({ "e" })->pool_.value_ == "enc");
  CHECK(content.FindWorkspace({ "w" })->weight_ == 2.0);
  CHECK(content.IsIdempotent(*content.FindPipeline({ "p" })));
  CHECK_FALSE(content.IsIdempotent(*content.FindPipeline({ "q" })));
  CHECK(content.FindPipeline({ "none" }) == nullptr);
}

TEST_CASE(
  "configuration: an invalid document is rejected with the key and a remedy")
{
  struct Case
  {
    std::string text_;
    std::string expectedMessage_;
  };
  const Case cases[] = {
    { With(R"("pool": "enc")", R"("pool": "nix")"), "names 'nix'" },
    { With(R"([ "w" ])", R"([ "v" ])"), "names 'v'" },
    { With(R"("encode")", R"("shout")"), "'pools.enc.kind'" },
    { With(R"("licensed_copies": 1)", R"("licensed_copies": 0)"),
      "lists 1 servers but licensed_copies is 0" },
    { With("127.0.0.1:1", "nowhere"), "'pools.enc.servers.e.address'" },
    { With(R"("weight": 2)", R"("weight": 0)"), "'workspaces.w.weight'" },
    { With(R"([ { "pool": "enc" } ])", "[]"), "'pipelines.p.stages'" },
    { With(R"("name": "x")", R"("nam": "x")"), "not a known key" },
    { With(R"("idempotent": false)", R"("lends_to": [ "nix" ])"),
      "names 'nix'" },
    { With(R"("licensed_copies": 0 })",
           R"("licensed_copies": 1, "servers":
              { "e": { "address": "127.0.0.1:2" } } })"),
      "server 'e' stands in two pools" },
  };
  for (const auto& each : cases) {
    const auto error = FailureOfResult([&] { return Parse(each.text_); });
    CAPTURE(error.message_);
    CHECK(error.kind_ == ErrorKind::InvalidConfiguration);
    CHECK(error.message_.find(each.expectedMessage_) != std::string::npos);
    CHECK_FALSE(error.remedy_.empty());
  }
}

TEST_CASE("configuration: a patch applies only to its base version")
{
  const auto version = ValueOf([] { return Parse(kDocument); });
  const ConfigPatch good{ .number_ = 2, .operations_ = R"([{"op":"replace",
      "path":"/workspaces/w/weight","value":5}])" };
  const auto next = ValueOf([&] { return version->Apply(good); });
  CHECK(next->Number() == 2);
  CHECK(next->Content().FindWorkspace({ "w" })->weight_ == 5.0);
  CHECK(version->Content().FindWorkspace({ "w" })->weight_ == 2.0);
  CHECK(FailureOfResult([&] { return next->Apply(good); }).kind_ ==
        ErrorKind::Conflict);
  const ConfigPatch wrong{ .number_ = 2, .operations_ = R"([{"op":"remove",
      "path":"/workspaces/none"}])" };
  CHECK(FailureOfResult([&] { return version->Apply(wrong); }).kind_ ==
        ErrorKind::Conflict);
  const ConfigPatch invalid{ .number_ = 2, .operations_ = R"([{"op":"remove",
      "path":"/workspaces/w"}])" };
  CHECK(FailureOfResult([&] { return version->Apply(invalid); }).kind_ ==
        ErrorKind::InvalidConfiguration);
}

} // namespace testing

#include "Failure.h"

#include <goldcrestcroft/src/Server/Http/IncomingRequest.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

auto Config() -> ConfigVersionPtr
{
  return ValueOf([] {
    return ConfigVersion::FromDocument(3, R"({
      "workspaces": { "w": {}, "v": {} },
      "pools": { "enc": { "kind": "encode" },
                 "pay": { "kind": "call", "idempotent": false } },
      "pipelines": {
        "p": { "workspaces": [ "w" ], "stages": [ { "pool": "enc" } ],
               "max_deadline_ms": 500 },
        "pay": { "workspaces": [ "w" ], "stages": [ { "pool": "pay" } ] } } })");
  });
}

auto Good() -> RawRequest
{
  return { .pipeline_ = "p",
           .workspace_ = "w",
           .deadlineMilliseconds_ = "400",
           .body_ = R"({"input":"text","stream":true})" };
}

auto FailureOf(const RawRequest& aRaw) -> Error
{
  return FailureOfResult([&] { return CheckRequest(aRaw, Config()); });
}

} // namespace

TEST_CASE("request: a valid request is parsed")
{
  const auto request = ValueOf([] { return CheckRequest(Good(), Config()); });
  CHECK(request.deadline_ == std::chrono::milliseconds{ 400 });
  CHECK(request.input_.text_ == "text");
  CHECK(request.streamed_);
  CHECK(request.idempotent_);
}

TEST_CASE("request: equal keys of two workspaces stay distinct")
{
  auto raw = Good();
  raw.pipeline_ = "pay";
  raw.idempotencyKey_ = "k";
  const auto request = ValueOf([&] { return CheckRequest(raw, Config()); });
  CHECK_FALSE(request.idempotent_);
  CHECK(request.key_.value_ == "w/k");
  CHECK_FALSE(request.firstSubmission_);
}

TEST_CASE("request: invalid input is rejected with a typed error and a remedy")
{
  struct Case
  {
    RawRequest raw_;
    ErrorKind kind_;
    std::string names_;
  };
  std::vector<Case> cases;
  const auto add = [&](auto aChange, ErrorKind aKind, const char* aNames) {
    auto raw = Good();
    aChange(raw);
    cases.push_back({ raw, aKind, aNames });
  };
  add([](auto& aRaw) { aRaw.pipeline_ = "x"; }, ErrorKind::NotFound, "'x'");
  add([](auto& aRaw) { aRaw.workspace_ = ""; }, ErrorKind::InvalidArgument,
      "no workspace");
  add([](auto& aRaw) { aRaw.workspace_ = "v"; }, ErrorKind::Forbidden, "'v'");
  add([](auto& aRaw) { aRaw.workspace_ = "u"; }, ErrorKind::Forbidden, "'u'");
  add([](auto& aRaw) { aRaw.deadlineMilliseconds_ = ""; },
      ErrorKind::InvalidArgument, "no deadline");
  for (const auto* deadline :
       { "0", "-1", "501", "1e3", "4 ", "99999999999999999999" }) {
    add([&](auto& aRaw) { aRaw.deadlineMilliseconds_ = deadline; },
        ErrorKind::InvalidArgument, "x-deadline-ms");
  }
  for (const auto* body :
       { "", "{", "[]", "{}", R"({"input":5})", R"({"input":""})",
         R"({"input":"x","more":1})", R"({"input":"x","max_tokens":0})",
         R"({"input":"x","stream":"yes"})" }) {
    add([&](auto& aRaw) { aRaw.body_ = body; }, ErrorKind::InvalidArgument, "");
  }
  add([](auto& aRaw) { aRaw.pipeline_ = "pay"; }, ErrorKind::InvalidArgument,
      "no key");
  add(
    [](auto& aRaw) {
      aRaw.pipeline_ = "pay";
      aRaw.idempotencyKey_ = std::string(300, 'k');
    },
    ErrorKind::InvalidArgument, "too long");
  for (const auto& each : cases) {
    const auto error = FailureOf(each.raw_);
    CAPTURE(error.message_);
    CHECK(error.kind_ == each.kind_);
    CHECK(error.message_.find(each.names_) != std::string::npos);
    CHECK_FALSE(error.remedy_.empty());
  }
}

} // namespace testing

#include <doctest/doctest.h>
#include <goldcrestcroft/src/Observability/Span.h>
#include <goldcrestcroft/src/Server/Http/ResponseCodec.h>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE(
  "response: carries the status, the outcome and the time to retry after")
{
  const auto response = BuildResponse(
    Refusal({ .kind_ = ErrorKind::Unavailable,
              .message_ = "busy",
              .remedy_ = "later" },
            std::chrono::milliseconds{ 1200 }),
    { .request_ = { "r1" }, .version_ = 4, .traceparent_ = "00-x" });
  CHECK(response.status_ == 503);
  CHECK(response.body_.find(R"("outcome":"not_run")") != std::string::npos);
  CHECK(response.body_.find(R"("retry_after_ms":1200)") != std::string::npos);
  const auto has = [&](const std::string& aLine) {
    return std::find(response.headers_.begin(), response.headers_.end(),
                     aLine) != response.headers_.end();
  };
  CHECK(has("Retry-After: 2"));
  CHECK(has("x-request-id: r1"));
  CHECK(has("x-outcome: not_run"));
}

TEST_CASE("response: a recorded result decodes to the same result")
{
  const RequestResult answer{
    .outcome_ = Outcome::Failed,
    .text_ = "t",
    .error_ = { .kind_ = ErrorKind::Timeout, .message_ = "m", .remedy_ = "r" }
  };
  CHECK(DecodeRecorded(EncodeRecorded(answer)) == answer);
  const auto unknown = DecodeRecorded({ .outcome_ = Outcome::Unknown });
  CHECK(unknown.outcome_ == Outcome::Unknown);
  CHECK_FALSE(unknown.error_.remedy_.empty());
}

TEST_CASE("trace: traceparent is parsed, rejected if invalid, and propagated")
{
  const std::string header =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const auto parent = ParseTraceparent(header);
  REQUIRE(parent);
  CHECK(parent->ToHeader() == header);
  for (const auto* bad :
       { "", "00-0af7-b7ad-01",
         "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
         "00-00000000000000000000000000000000-b7ad6b7169203331-01" }) {
    CHECK_FALSE(ParseTraceparent(bad));
  }
  RandomEngine random(1);
  const auto child = MakeSpan(parent, random);
  CHECK(child.traceId_ == parent->traceId_);
  CHECK(child.spanId_ != parent->spanId_);
  CHECK(ParseTraceparent(MakeSpan(std::nullopt, random).ToHeader()));
}

TEST_CASE("trace: spans are encoded as OTLP/JSON")
{
  const auto body = EncodeSpans({ { .context_ = { "t", "s" },
                                    .parentSpanId_ = "p",
                                    .name_ = "encode",
                                    .failed_ = true,
                                    .attributes_ = { { "server", "e1" } } } },
                                { "h1" });
  for (const auto* part :
       { R"("resourceSpans")", R"("traceId":"t")", R"("parentSpanId":"p")",
         R"("name":"encode")", R"("stringValue":"e1")", R"("code":2)" }) {
    CHECK(body.find(part) != std::string::npos);
  }
}

} // namespace testing

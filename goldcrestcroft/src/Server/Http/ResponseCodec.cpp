#include "ResponseCodec.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace goldcrestcroft {

namespace {

using nlohmann::json;

auto Dump(const json& aDocument) -> std::string
{
  return aDocument.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto Milliseconds(Duration aDuration) -> double
{
  return ToMilliseconds(std::max(aDuration, Duration{ 0 }));
}

auto ToJson(const HopRecord& aHop) -> json
{
  const auto sent = aHop.sentAt_ != TimePoint{};
  return { { "stage", aHop.stage_ },
           { "server", aHop.server_.value_ },
           { "attempt", aHop.attempt_.value_ },
           { "wait_ms", Milliseconds((sent ? aHop.sentAt_ : aHop.endedAt_) -
                                     aHop.queuedAt_) },
           { "service_ms",
             sent ? Milliseconds(aHop.endedAt_ - aHop.sentAt_) : 0.0 },
           { "result", aHop.result_ } };
}

auto StatusOf(const RequestResult& aAnswer) -> int
{
  if (aAnswer.outcome_ == Outcome::Completed) {
    return 200;
  }
  switch (aAnswer.error_.kind_) {
    case ErrorKind::InvalidArgument:
      return 400;
    case ErrorKind::Forbidden:
      return 403;
    case ErrorKind::NotFound:
      return 404;
    case ErrorKind::Conflict:
      return 409;
    case ErrorKind::TooLarge:
      return 413;
    case ErrorKind::InvalidConfiguration:
      return 422;
    case ErrorKind::Timeout:
      return 504;
    default:
      return aAnswer.outcome_ == Outcome::Failed ? 502 : 503;
  }
}

constexpr ErrorKind kRecordedKinds[] = {
  ErrorKind::InvalidArgument, ErrorKind::Forbidden, ErrorKind::Timeout,
  ErrorKind::Unavailable, ErrorKind::Protocol
};

auto ParseErrorKind(const std::string& aName) -> ErrorKind
{
  for (const auto kind : kRecordedKinds) {
    if (ToString(kind) == aName) {
      return kind;
    }
  }
  return ErrorKind::Internal;
}

} // namespace

auto EncodeResponseBody(const RequestResult& aAnswer,
                        const ResponseContext& aContext) -> std::string
{
  json body{ { "request_id", aContext.request_.value_ },
             { "outcome", ToString(aAnswer.outcome_) },
             { "config_version", aContext.version_ } };
  if (aAnswer.outcome_ == Outcome::Completed) {
    body["text"] = aAnswer.text_;
  } else {
    body["error"] = { { "kind", ToString(aAnswer.error_.kind_) },
                      { "message", aAnswer.error_.message_ },
                      { "remedy", aAnswer.error_.remedy_ } };
  }
  if (aAnswer.retryAfter_.count() > 0) {
    body["retry_after_ms"] = Milliseconds(aAnswer.retryAfter_);
  }
  if (aContext.repeated_) {
    body["repeated"] = true;
  }
  auto hops = json::array();
  for (const auto& hop : aContext.hops_) {
    hops.push_back(ToJson(hop));
  }
  body["hops"] = std::move(hops);
  return Dump(body);
}

auto BuildResponse(const RequestResult& aAnswer,
                   const ResponseContext& aContext) -> ResponseOptions
{
  ResponseOptions reply{
    .status_ = StatusOf(aAnswer),
    .headers_ = { "x-request-id: " + aContext.request_.value_,
                  "x-outcome: " + ToString(aAnswer.outcome_) },
    .body_ = EncodeResponseBody(aAnswer, aContext)
  };
  if (!aContext.traceparent_.empty()) {
    reply.headers_.push_back("traceparent: " + aContext.traceparent_);
  }
  if (aAnswer.retryAfter_.count() > 0) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aAnswer.retryAfter_).count();
    reply.headers_.push_back(fmt::format("Retry-After: {}", seconds));
  }
  return reply;
}

auto Refusal(Error aError, Duration aRetryAfter) -> RequestResult
{
  return { .outcome_ = Outcome::NotRun,
           .error_ = std::move(aError),
           .retryAfter_ = aRetryAfter };
}

auto EncodeRecorded(const RequestResult& aAnswer) -> RecordedResponse
{
  return { .outcome_ = aAnswer.outcome_,
           .body_ = Dump({ { "text", aAnswer.text_ },
                           { "kind", ToString(aAnswer.error_.kind_) },
                           { "message", aAnswer.error_.message_ },
                           { "remedy", aAnswer.error_.remedy_ } }) };
}

auto DecodeRecorded(const RecordedResponse& aRecorded) -> RequestResult
{
  const auto body = json::parse(aRecorded.body_, nullptr, false);
  if (!body.is_object()) {
    return { .outcome_ = aRecorded.outcome_,
             .error_ = { .kind_ = ErrorKind::Unavailable,
                         .message_ = "the request may or may not have run",
                         .remedy_ = "look at its effect before sending it "
                                    "under a new key" } };
  }
  return { .outcome_ = aRecorded.outcome_,
           .text_ = body.value("text", ""),
           .error_ = { .kind_ = ParseErrorKind(body.value("kind", "")),
                       .message_ = body.value("message", ""),
                       .remedy_ = body.value("remedy", "") } };
}

} // namespace goldcrestcroft

#include "IncomingRequest.h"

#include "../../Core/ObjectReader.h"

#include <charconv>

namespace goldcrestcroft {

namespace {

using nlohmann::json;

constexpr unsigned kDefaultTokens = 64;
constexpr unsigned kMaxTokens = 32'768;
constexpr std::size_t kMaxKeyBytes = 256;

auto Invalid(std::string aMessage, std::string aRemedy) -> boost::leaf::error_id
{
  return Fail({ .kind_ = ErrorKind::InvalidArgument,
                .message_ = std::move(aMessage),
                .remedy_ = std::move(aRemedy) });
}

auto ReadDeadline(const RawRequest& aRaw, const Pipeline& aPipeline)
  -> Result<Duration>
{
  if (aRaw.deadlineMilliseconds_.empty()) {
    return Invalid("the request has no deadline",
                   "send the header x-deadline-ms");
  }
  const auto& text = aRaw.deadlineMilliseconds_;
  const auto maximum =
    std::chrono::floor<std::chrono::milliseconds>(aPipeline.maxDeadline_);
  std::int64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number < 1 ||
      number > maximum.count()) {
    return Invalid(
      "x-deadline-ms is not a number in range",
      fmt::format("give whole milliseconds from 1 to {}", maximum.count()));
  }
  return Duration(std::chrono::milliseconds(number));
}

auto ReadBody(const std::string& aBody, CheckedRequest& aRequest)
  -> Result<void>
{
  const auto document = json::parse(aBody, nullptr, false);
  if (document.is_discarded()) {
    return Invalid("the body is not JSON",
                   R"(send {"input": "...", "max_tokens": 64})");
  }
  auto read = internal::ReadDocument([&] {
    internal::ObjectReader reader(document, "", ErrorKind::InvalidArgument);
    aRequest.input_ = {
      .text_ = reader.Required<std::string>("input"),
      .maxTokens_ =
        reader.InRange<unsigned>("max_tokens", kDefaultTokens, 1, kMaxTokens),
      .session_ = reader.Optional<std::string>("session", ""),
    };
    aRequest.streamed_ = reader.Optional<bool>("stream", false);
    reader.RejectUnknown();
    return true;
  });
  if (!read) {
    return read.error();
  }
  if (aRequest.input_.text_.empty()) {
    return Invalid("'input' is empty", "send the text to work on");
  }
  return {};
}

auto ReadKey(const RawRequest& aRaw, CheckedRequest& aRequest) -> Result<void>
{
  if (aRequest.idempotent_) {
    return {};
  }
  if (aRaw.idempotencyKey_.empty()) {
    return Invalid("this pipeline is not idempotent and the request has no key",
                   "send the header idempotency-key, the same on each repeat");
  }
  if (aRaw.idempotencyKey_.size() > kMaxKeyBytes) {
    return Invalid("the idempotency-key is too long",
                   "use at most 256 characters");
  }
  // The prefix keeps equal keys of different workspaces apart.
  aRequest.key_ = { aRaw.workspace_ + "/" + aRaw.idempotencyKey_ };
  aRequest.firstSubmission_ = aRaw.firstSubmission_ == "1";
  return {};
}

} // namespace

auto CheckRequest(const RawRequest& aRaw, const ConfigVersionPtr& aConfig)
  -> Result<CheckedRequest>
{
  const auto& content = aConfig->Content();
  const auto* pipeline = content.FindPipeline({ aRaw.pipeline_ });
  if (pipeline == nullptr) {
    return Fail(
      { .kind_ = ErrorKind::NotFound,
        .message_ = fmt::format("there is no pipeline '{}'", aRaw.pipeline_),
        .remedy_ = "check the name, or ask an operator to add it" });
  }
  if (aRaw.workspace_.empty()) {
    return Invalid("the request names no workspace",
                   "send the header x-workspace");
  }
  const WorkspaceId workspace{ aRaw.workspace_ };
  const auto& allowed = pipeline->workspaces_;
  if (std::find(allowed.begin(), allowed.end(), workspace) == allowed.end()) {
    return Fail(
      { .kind_ = ErrorKind::Forbidden,
        .message_ = fmt::format("workspace '{}' may not use pipeline '{}'",
                                aRaw.workspace_, aRaw.pipeline_),
        .remedy_ = "ask an operator to list it there" });
  }
  CheckedRequest request{ .config_ = aConfig,
                          .pipeline_ = pipeline->id_,
                          .workspace_ = workspace,
                          .idempotent_ = content.IsIdempotent(*pipeline),
                          .parent_ = ParseTraceparent(aRaw.traceparent_) };
  BOOST_LEAF_ASSIGN(request.deadline_, ReadDeadline(aRaw, *pipeline));
  BOOST_LEAF_CHECK(ReadBody(aRaw.body_, request));
  BOOST_LEAF_CHECK(ReadKey(aRaw, request));
  request.fingerprint_ =
    Fingerprint(request.input_.text_, Fingerprint(aRaw.workspace_));
  return request;
}

} // namespace goldcrestcroft

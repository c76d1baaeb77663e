#include "CallerHandler.h"

#include "ResponseCodec.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace goldcrestcroft {

namespace {

using nlohmann::json;
using Pistache::Http::Method;
using Pistache::Http::Request;

constexpr auto kSocketData = "goldcrestcroft-socket";
constexpr std::string_view kPipelinePrefix = "/v1/pipelines/";
constexpr Duration kRetryAfterNotReady = std::chrono::seconds{ 1 };

auto Header(const Request& aRequest, const std::string& aName) -> std::string
{
  const auto raw = aRequest.headers().tryGetRaw(aName);
  return raw ? raw->value() : std::string();
}

auto WantsClose(const Request& aRequest) -> bool
{
  const auto connection =
    aRequest.headers().tryGet<Pistache::Http::Header::Connection>();
  return connection != nullptr &&
         connection->control() == Pistache::Http::ConnectionControl::Close;
}

/** Returns the socket of a connection; created at its first request. */
auto SocketOf(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer)
  -> std::shared_ptr<CallerSocket>
{
  auto known = aPeer->tryGetData(kSocketData);
  if (known == nullptr) {
    known = std::make_shared<CallerSocket>(aPeer->fd());
    aPeer->putData(kSocketData, known);
  }
  return std::static_pointer_cast<CallerSocket>(known);
}

} // namespace

auto CallerHandler::MakeRequestId() -> RequestId
{
  const auto& options = context_->options_;
  return { fmt::format("{}-{:x}-{}", options.settings_.host_.value_,
                       options.incarnation_, ++context_->requests_) };
}

auto CallerHandler::onRequest(const Request& aRequest,
                              Pistache::Http::ResponseWriter aResponse) -> void
{
  const auto peer = aResponse.getPeer();
  if (peer == nullptr) {
    return;
  }
  auto socket = SocketOf(peer);
  if (!socket->TryAcquire()) {
    // Pipelined requests are not supported: their responses could be mixed up.
    // This request is ignored, and the connection closes after the response to
    // the first one, which tells the caller that it was not processed.
    return;
  }
  peer->setIdle(true);
  try {
    Route(aRequest,
          CallerResponseWriter(std::move(socket), WantsClose(aRequest)));
  } catch (const std::exception& failure) {
    CallerResponseWriter reply(SocketOf(peer), true);
    SendError(reply, { .kind_ = ErrorKind::Internal,
                       .message_ = failure.what(),
                       .remedy_ = "report this to the operators" });
  }
}

auto CallerHandler::onDisconnection(
  const std::shared_ptr<Pistache::Tcp::Peer>& aPeer) -> void
{
  if (const auto socket = aPeer->tryGetData(kSocketData)) {
    std::static_pointer_cast<CallerSocket>(socket)->MarkDisconnected();
  }
}

auto CallerHandler::SendError(CallerResponseWriter& aReply, Error aError)
  -> void
{
  aReply.Send(
    BuildResponse(Refusal(std::move(aError)), { .request_ = MakeRequestId() }));
}

auto CallerHandler::Route(const Request& aRequest, CallerResponseWriter aReply)
  -> void
{
  const auto& path = aRequest.resource();
  if (path.starts_with(kPipelinePrefix) && aRequest.method() == Method::Post) {
    OnPipeline(aRequest, path.substr(kPipelinePrefix.size()),
               std::move(aReply));
  } else if (path == "/v1/config/patches" &&
             aRequest.method() == Method::Post) {
    OnPatch(aRequest, std::move(aReply));
  } else if (aRequest.method() == Method::Get) {
    RouteGet(path, aRequest, std::move(aReply));
  } else {
    SendError(aReply, { .kind_ = ErrorKind::NotFound,
                        .message_ = "there is no such call",
                        .remedy_ = "see docs/API.md for paths and methods" });
  }
}

auto CallerHandler::RouteGet(const std::string& aPath, const Request& aRequest,
                             CallerResponseWriter aReply) -> void
{
  const auto view = context_->options_.view_();
  if (aPath == "/v1/hosts") {
    SendHosts(*view, aReply);
  } else if (aPath == "/healthz") {
    aReply.Send({ .contentType_ = "text/plain", .body_ = "ok\n" });
  } else if (aPath == "/readyz") {
    const auto ready = MayAdmit(*view);
    aReply.Send(
      { .status_ = ready ? 200 : 503,
        .contentType_ = "text/plain",
        .body_ = ready ? "ready\n" : "no confirmed configuration\n" });
  } else if (aPath == "/metrics") {
    aReply.Send({ .contentType_ = "text/plain; version=0.0.4",
                  .body_ = context_->metrics_.Expose() });
  } else if (aPath == "/v1/config") {
    aReply.Send({ .body_ = fmt::format(R"({{"version":{},"document":{}}})",
                                       view->config_->Number(),
                                       view->config_->Document()) });
  } else if (aPath == "/v1/config/patches") {
    const auto after = aRequest.query().get("after").value_or("0");
    context_->options_.toControl_(
      HistoryRequested{ .after_ = std::strtoull(after.c_str(), nullptr, 10),
                        .request_ = MakeRequestId(),
                        .reply_ = std::move(aReply) });
  } else {
    SendError(aReply, { .kind_ = ErrorKind::NotFound,
                        .message_ = "there is no such call",
                        .remedy_ = "see docs/API.md for paths and methods" });
  }
}

auto CallerHandler::MayAdmit(const ControlView& aView) const -> bool
{
  return aView.config_->Number() > 0 && aView.confirmed_ &&
         context_->options_.isFresh_();
}

auto CallerHandler::SendHosts(const ControlView& aView,
                              CallerResponseWriter& aReply) const -> void
{
  const auto& settings = context_->options_.settings_;
  auto hosts = aView.hosts_;
  std::stable_sort(
    hosts.begin(), hosts.end(),
    [&](const AdvertisedHost& aLeft, const AdvertisedHost& aRight) {
      return (aLeft.zone_ == settings.zone_) > (aRight.zone_ == settings.zone_);
    });
  auto list = json::array();
  for (const auto& host : hosts) {
    list.push_back({ { "host", host.host_.value_ },
                     { "address", host.address_ },
                     { "availability_zone", host.zone_.value_ },
                     { "weight", host.zone_ == settings.zone_ ? 2 : 1 } });
  }
  const auto keep = std::chrono::floor<std::chrono::milliseconds>(
    settings.callers_.hostListLifetime_);
  aReply.Send(
    { .body_ = json{ { "hosts", list }, { "keep_ms", keep.count() } }.dump() });
}

auto CallerHandler::OnPipeline(const Request& aRequest,
                               const std::string& aPipeline,
                               CallerResponseWriter aReply) -> void
{
  const auto& options = context_->options_;
  const auto arrivedAt = SteadyClock{}.Now();
  const auto view = options.view_();
  const auto id = MakeRequestId();
  const auto refuse = [&](const Error& aError, Duration aRetryAfter) {
    context_->metrics_.CountRefused(ToString(aError.kind_));
    aReply.Send(
      BuildResponse(Refusal(aError, aRetryAfter),
                    { .request_ = id, .version_ = view->config_->Number() }));
  };
  if (!MayAdmit(*view)) {
    refuse({ .kind_ = ErrorKind::Unavailable,
             .message_ = "this entry host has no confirmed configuration",
             .remedy_ = "use another address of GET /v1/hosts" },
           kRetryAfterNotReady);
    return;
  }
  if (aRequest.body().size() > options.settings_.callers_.maxBodyBytes_) {
    refuse({ .kind_ = ErrorKind::TooLarge,
             .message_ = "the body is too large",
             .remedy_ = "send less, or ask for a larger max_body_bytes" },
           Duration{ 0 });
    return;
  }
  const RawRequest raw{ .pipeline_ = aPipeline,
                        .workspace_ = Header(aRequest, "x-workspace"),
                        .deadlineMilliseconds_ =
                          Header(aRequest, "x-deadline-ms"),
                        .idempotencyKey_ = Header(aRequest, "idempotency-key"),
                        .firstSubmission_ =
                          Header(aRequest, "x-first-submission"),
                        .traceparent_ = Header(aRequest, "traceparent"),
                        .body_ = aRequest.body() };
  Handle(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(checked, CheckRequest(raw, view->config_));
      options.toTraffic_(IncomingRequest{ .id_ = id,
                                          .request_ = std::move(checked),
                                          .reply_ = std::move(aReply),
                                          .arrivedAt_ = arrivedAt });
      return {};
    },
    [&](const Error& aError) { refuse(aError, Duration{ 0 }); });
}

auto CallerHandler::OnPatch(const Request& aRequest,
                            CallerResponseWriter aReply) -> void
{
  const auto body = json::parse(aRequest.body(), nullptr, false);
  const auto valid = body.is_object() && body.contains("base") &&
                     body["base"].is_number_unsigned() &&
                     body.contains("author") && body["author"].is_string() &&
                     body.contains("operations") &&
                     body["operations"].is_array();
  if (!valid) {
    SendError(aReply, { .kind_ = ErrorKind::InvalidArgument,
                        .message_ = "the body is not a patch",
                        .remedy_ = R"(send {"base": N, "author": "...", )"
                                   R"("operations": [JSON Patch]})" });
    return;
  }
  context_->options_.toControl_(
    PatchSubmitted{ .base_ = body["base"],
                    .author_ = body["author"],
                    .operations_ = body["operations"].dump(),
                    .request_ = MakeRequestId(),
                    .reply_ = std::move(aReply) });
}

} // namespace goldcrestcroft

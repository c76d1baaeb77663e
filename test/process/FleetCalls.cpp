#include "Fleet.h"

#include <future>

namespace testing {

using namespace goldcrestcroft;

auto Fleet::Get(const std::string& aAddress, const std::string& aPath) const
  -> HttpResponse
{
  return CallAndWait({ .method_ = "GET",
                       .url_ = "http://" + aAddress + aPath,
                       .timeout_ = std::chrono::seconds{ 5 } });
}

auto Fleet::Post(const std::string& aAddress, const std::string& aPath,
                 const json& aBody) const -> HttpResponse
{
  return CallAndWait({ .url_ = "http://" + aAddress + aPath,
                       .body_ = aBody.dump(),
                       .timeout_ = std::chrono::seconds{ 20 } });
}

auto Fleet::Patch(int aHost, std::uint64_t aBase, const std::string& aAuthor,
                  const json& aOperations) const -> HttpResponse
{
  return Post(HostAddress(aHost), "/v1/config/patches",
              { { "base", aBase },
                { "author", aAuthor },
                { "operations", aOperations } });
}

auto Fleet::Send(int aHost, const Ask& aAsk) const -> HttpResponse
{
  std::vector<std::string> headers{
    "x-workspace: " + aAsk.workspace_,
    "x-deadline-ms: " + std::to_string(aAsk.deadlineMilliseconds_)
  };
  if (!aAsk.key_.empty()) {
    headers.push_back("idempotency-key: " + aAsk.key_);
  }
  if (aAsk.first_) {
    headers.emplace_back("x-first-submission: 1");
  }
  return CallAndWait({ .url_ = "http://" + HostAddress(aHost) +
                               "/v1/pipelines/" + aAsk.pipeline_,
                       .body_ = json{ { "input", aAsk.input_ },
                                      { "max_tokens", aAsk.maxTokens_ },
                                      { "stream", aAsk.stream_ } }
                                  .dump(),
                       .headers_ = std::move(headers),
                       .timeout_ = std::chrono::seconds{ 20 } });
}

auto Fleet::SendLater(int aHost, const Ask& aAsk) const
  -> std::function<HttpResponse()>
{
  auto future = std::make_shared<std::future<HttpResponse>>(std::async(
    std::launch::async, [this, aHost, aAsk] { return Send(aHost, aAsk); }));
  return [future] { return future->get(); };
}

auto Fleet::VersionAt(int aHost) const -> std::uint64_t
{
  const auto body =
    json::parse(Get(HostAddress(aHost), "/v1/config").body_, nullptr, false);
  return body.is_object() ? body["version"].get<std::uint64_t>() : 0;
}

auto Fleet::RunsOf(const std::string& aInput) const -> int
{
  return json::parse(Get(Address("service-0"), "/counts").body_)
    .value(aInput, 0);
}

auto Fleet::MetricAt(int aHost, const std::string& aName) const -> double
{
  const auto text = Get(HostAddress(aHost), "/metrics").body_;
  const auto at = text.find("\n" + aName + " ");
  return at == std::string::npos
           ? 0.0
           : std::strtod(text.c_str() + at + aName.size() + 2, nullptr);
}

} // namespace testing

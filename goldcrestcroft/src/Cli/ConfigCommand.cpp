#include "../Server/Http/SimpleHttp.h"
#include "Command.h"

#include <absl/flags/flag.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <optional>

ABSL_FLAG(std::string, host, "127.0.0.1:8080",
          "caller address of any entry host");
ABSL_FLAG(std::uint64_t, base, 0, "version that a patch is made against");
ABSL_FLAG(std::string, author, "operator", "who makes the patch");
ABSL_FLAG(bool, whole, false, "the file is a whole document, not a JSON Patch");
ABSL_FLAG(std::uint64_t, after, 0, "history after this version");

namespace goldcrestcroft {

namespace {

using nlohmann::json;

constexpr long kOk = 200;

auto Url(const std::string& aPath) -> std::string
{
  return "http://" + absl::GetFlag(FLAGS_host) + aPath;
}

auto PrintResponse(const HttpResponse& aResponse) -> int
{
  if (aResponse.end_ != HttpOutcome::Answered) {
    std::fprintf(stderr,
                 "goldcrestcroft: %s does not answer: %s; name a "
                 "running entry host with --host\n",
                 absl::GetFlag(FLAGS_host).c_str(), aResponse.error_.c_str());
    return 1;
  }
  const auto body = json::parse(aResponse.body_, nullptr, false);
  std::printf("%s\n", body.is_discarded() ? aResponse.body_.c_str()
                                          : body.dump(2).c_str());
  return aResponse.status_ == kOk ? 0 : 1;
}

auto SubmitPatch(const std::string& aFile) -> int
{
  const auto text = Handle(
    [&]() -> Result<std::optional<std::string>> { return ReadFile(aFile); },
    [](const Error& aError) -> std::optional<std::string> {
      std::fprintf(stderr, "goldcrestcroft: %s; %s\n", aError.message_.c_str(),
                   aError.remedy_.c_str());
      return std::nullopt;
    });
  if (!text) {
    return 1;
  }
  auto content = json::parse(*text, nullptr, false, true);
  if (content.is_discarded()) {
    std::fprintf(stderr, "goldcrestcroft: %s is not JSON\n", aFile.c_str());
    return 1;
  }
  if (absl::GetFlag(FLAGS_whole)) {
    content = json::array(
      { { { "op", "replace" }, { "path", "" }, { "value", content } } });
  }
  const json body{ { "base", absl::GetFlag(FLAGS_base) },
                   { "author", absl::GetFlag(FLAGS_author) },
                   { "operations", std::move(content) } };
  return PrintResponse(CallAndWait({ .url_ = Url("/v1/config/patches"),
                                     .body_ = body.dump(),
                                     .timeout_ = std::chrono::seconds{ 30 } }));
}

} // namespace

auto RunConfig(const std::vector<std::string>& aArguments) -> int
{
  if (aArguments.size() == 1 && aArguments[0] == "show") {
    return PrintResponse(
      CallAndWait({ .method_ = "GET", .url_ = Url("/v1/config") }));
  }
  if (aArguments.size() == 1 && aArguments[0] == "history") {
    return PrintResponse(
      CallAndWait({ .method_ = "GET",
                    .url_ = Url("/v1/config/patches?after=" +
                                std::to_string(absl::GetFlag(FLAGS_after))) }));
  }
  if (aArguments.size() == 2 && aArguments[0] == "patch") {
    return SubmitPatch(aArguments[1]);
  }
  return UsageError("config show | config history [--after=N] | "
                    "config patch FILE --base=N [--whole] [--author=NAME]");
}

auto RunHosts(const std::vector<std::string>&) -> int
{
  return PrintResponse(
    CallAndWait({ .method_ = "GET", .url_ = Url("/v1/hosts") }));
}

auto RunStatus(const std::vector<std::string>&) -> int
{
  const auto ready = CallAndWait({ .method_ = "GET", .url_ = Url("/readyz") });
  if (ready.end_ != HttpOutcome::Answered) {
    return PrintResponse(ready);
  }
  const auto metrics =
    CallAndWait({ .method_ = "GET", .url_ = Url("/metrics") });
  std::printf("%s%s", ready.body_.c_str(), metrics.body_.c_str());
  return ready.status_ == kOk ? 0 : 1;
}

} // namespace goldcrestcroft

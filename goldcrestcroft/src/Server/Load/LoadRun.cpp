#include "LoadRun.h"

#include "../Http/SimpleHttp.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>

namespace goldcrestcroft {

namespace {

using nlohmann::json;

constexpr long kOk = 200;

auto ReadLoadRequest(const std::filesystem::path& aFile) -> Result<LoadRequest>
{
  BOOST_LEAF_AUTO(text, ReadFile(aFile.string()));
  try {
    const auto document = json::parse(text, nullptr, true, true);
    LoadRequest request;
    request.name_ = aFile.stem().string();
    request.pipeline_ = document.at("pipeline");
    request.workspace_ = document.at("workspace");
    request.input_ = document.at("input");
    request.maxTokens_ = document.value("max_tokens", request.maxTokens_);
    request.deadlineMilliseconds_ =
      document.value("deadline_ms", request.deadlineMilliseconds_);
    request.keyed_ = document.value("keyed", false);
    return request;
  } catch (const json::exception& failure) {
    return Fail({ .kind_ = ErrorKind::InvalidArgument,
                  .message_ = aFile.string() + ": " + failure.what(),
                  .remedy_ = "see examples/requests for the form" });
  }
}

auto MetricValue(const std::string& aText, const std::string& aName) -> double
{
  const auto at = aText.find("\n" + aName + " ");
  return at == std::string::npos
           ? 0.0
           : std::strtod(aText.c_str() + at + aName.size() + 2, nullptr);
}

auto ServiceTime(const json& aBody) -> double
{
  auto sum = 0.0;
  for (const auto& hop : aBody.at("hops")) {
    sum += hop.at("result") == "ok" ? hop.at("service_ms").get<double>() : 0.0;
  }
  return sum;
}

} // namespace

auto ReadLoadRequests(const std::string& aFolder)
  -> Result<std::vector<LoadRequest>>
{
  std::error_code failed;
  std::vector<std::filesystem::path> files;
  for (const auto& entry :
       std::filesystem::directory_iterator(aFolder, failed)) {
    if (entry.path().extension() == ".json") {
      files.push_back(entry.path());
    }
  }
  std::sort(files.begin(), files.end());
  std::vector<LoadRequest> requests;
  for (const auto& file : files) {
    BOOST_LEAF_AUTO(request, ReadLoadRequest(file));
    requests.push_back(std::move(request));
  }
  if (requests.empty()) {
    return Fail({ .kind_ = ErrorKind::InvalidArgument,
                  .message_ = aFolder + ": holds no request files",
                  .remedy_ = "name a folder such as examples/requests" });
  }
  return requests;
}

LoadRun::LoadRun(Options aOptions)
  : options_(std::move(aOptions))
  , random_(options_.seed_)
  , http_({})
{
}

auto LoadRun::RefreshHosts() -> bool
{
  // Any host can provide the list: use the first one that responds.
  auto candidates = addresses_;
  candidates.push_back(options_.host_);
  for (const auto& address : candidates) {
    const auto response =
      CallAndWait({ .method_ = "GET",
                    .url_ = "http://" + address + "/v1/hosts",
                    .timeout_ = std::chrono::seconds{ 1 } });
    const auto body = json::parse(response.body_, nullptr, false);
    if (response.status_ != kOk || !body.is_object() || body["hosts"].empty()) {
      continue;
    }
    addresses_.clear();
    for (const auto& host : body["hosts"]) {
      addresses_.push_back(host.at("address"));
    }
    refreshHostsAt_ =
      clock_.Now() + std::chrono::milliseconds(body["keep_ms"].get<int>());
    return true;
  }
  return false;
}

auto LoadRun::SendOne() -> void
{
  const auto& request = options_.requests_[sent_ % options_.requests_.size()];
  const auto& address = addresses_[UniformBelow(random_, addresses_.size())];
  ++sent_;
  ++inFlight_;
  // Inputs differ, so that a response to another request is detected.
  const auto input = fmt::format("{} [{}]", request.input_, sent_);
  std::vector<std::string> headers{
    "x-workspace: " + request.workspace_,
    fmt::format("x-deadline-ms: {}", request.deadlineMilliseconds_)
  };
  if (request.keyed_) {
    headers.push_back(fmt::format("idempotency-key: {}-{}-{}", request.name_,
                                  options_.seed_, sent_));
    headers.emplace_back("x-first-submission: 1");
  }
  const auto sentAt = clock_.Now();
  http_.Send(
    { .url_ = "http://" + address + "/v1/pipelines/" + request.pipeline_,
      .body_ =
        json{ { "input", input }, { "max_tokens", request.maxTokens_ } }.dump(),
      .headers_ = std::move(headers),
      .timeout_ = std::chrono::milliseconds(request.deadlineMilliseconds_) +
                  std::chrono::seconds{ 2 },
      .connectTimeout_ = std::chrono::seconds{ 2 } },
    { .onEnd_ = [this, &request, input, sentAt](const HttpResponse& aResponse) {
      OnResponse(request, input, sentAt, aResponse);
    } });
}

auto LoadRun::OnResponse(const LoadRequest& aRequest, const std::string& aInput,
                         TimePoint aSentAt, const HttpResponse& aResponse)
  -> void
{
  --inFlight_;
  const auto requestTime = clock_.Now() - aSentAt;
  if (aResponse.end_ != HttpOutcome::Answered) {
    report_.AddResponse("no_answer", requestTime, requestTime, 0);
    report_.AddInvalidResponse("no answer: " + aResponse.error_);
    return;
  }
  const auto body = json::parse(aResponse.body_, nullptr, false);
  if (!body.is_object() || !body.contains("outcome")) {
    report_.AddResponse("unreadable", requestTime, requestTime, 0);
    report_.AddInvalidResponse("an answer without an outcome");
    return;
  }
  const std::string outcome = body["outcome"];
  const auto served = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(ServiceTime(body)));
  report_.AddResponse(outcome, requestTime, requestTime - served,
                      body["hops"].size());
  const auto text = body.value("text", "");
  const auto matches =
    text.find(ToHex(Fingerprint(aInput))) != std::string::npos;
  if (outcome == "completed" && options_.verify_ && !matches) {
    report_.AddInvalidResponse("an answer that is not the request's own");
  }
  if (options_.print_) {
    std::printf("%s [%s] %.1f ms: %s\n", aRequest.name_.c_str(),
                outcome.c_str(), ToMilliseconds(requestTime),
                outcome == "completed" ? text.c_str()
                                       : body["error"].dump().c_str());
    for (const auto& hop : body["hops"]) {
      std::printf("    %-10s %-12s waited %6.2f ms, served %7.2f ms, %s\n",
                  hop["stage"].get<std::string>().c_str(),
                  hop["server"].get<std::string>().c_str(),
                  hop["wait_ms"].get<double>(), hop["service_ms"].get<double>(),
                  hop["result"].get<std::string>().c_str());
    }
  }
}

auto LoadRun::StartDue(TimePoint aNow) -> void
{
  const auto elapsed = std::chrono::duration<double>(aNow - startedAt_).count();
  const auto due = [&] {
    return options_.rate_ > 0.0
             ? static_cast<double>(sent_) < elapsed * options_.rate_
             : inFlight_ < options_.concurrency_;
  };
  while (sent_ < options_.count_ && due()) {
    SendOne();
  }
}

auto LoadRun::ReadUsage(const std::string& aAddress) -> ResourceUsage
{
  const auto response = CallAndWait(
    { .method_ = "GET", .url_ = "http://" + aAddress + "/metrics" });
  return { .cpuSeconds_ =
             MetricValue(response.body_, "goldcrestcroft_process_cpu_seconds"),
           .residentBytes_ = MetricValue(
             response.body_, "goldcrestcroft_process_resident_bytes") };
}

auto LoadRun::SampleUsage(bool aEnd) -> void
{
  if (!aEnd) {
    for (const auto& address : addresses_) {
      usageBefore_.push_back(ReadUsage(address));
    }
    return;
  }
  for (std::size_t i = 0; i < addresses_.size() && i < usageBefore_.size();
       ++i) {
    const auto after = ReadUsage(addresses_[i]);
    const auto cpu = after.cpuSeconds_ - usageBefore_[i].cpuSeconds_;
    const auto share = static_cast<double>(report_.Responses()) /
                       static_cast<double>(addresses_.size());
    std::printf("host %s: %.0f us of processor time a request, %.1f MB "
                "resident (%.1f MB before)\n",
                addresses_[i].c_str(), cpu * 1e6 / std::max(share, 1.0),
                after.residentBytes_ / 1e6,
                usageBefore_[i].residentBytes_ / 1e6);
  }
}

auto LoadRun::Run() -> bool
{
  constexpr Duration kPoll = std::chrono::milliseconds{ 1 };
  if (!RefreshHosts()) {
    return false;
  }
  const auto firstHosts = addresses_;
  SampleUsage(false);
  startedAt_ = clock_.Now();
  while (sent_ < options_.count_ || inFlight_ > 0) {
    const auto now = clock_.Now();
    if (now >= refreshHostsAt_ && !RefreshHosts()) {
      return false;
    }
    StartDue(now);
    http_.Poll(kPoll, {});
  }
  report_.Print(clock_.Now() - startedAt_);
  addresses_ = firstHosts;
  SampleUsage(true);
  return true;
}

} // namespace goldcrestcroft

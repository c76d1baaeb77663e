#include "Settings.h"

#include "../Core/ObjectReader.h"

#include <arpa/inet.h>

#include <charconv>
#include <fstream>
#include <sstream>

namespace goldcrestcroft {

namespace {

using internal::ObjectReader;
using nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

constexpr unsigned kMaxMilliseconds = 3'600'000;
constexpr std::size_t kMinKeyBytes = 16;

auto Reader(const json& aObject, const std::string& aPath) -> ObjectReader
{
  return { aObject, aPath, ErrorKind::InvalidSettings };
}

auto ReadMilliseconds(ObjectReader& aReader, const std::string& aKey,
                      Duration aDefault, unsigned aMin) -> Duration
{
  const auto fallback = static_cast<unsigned>(
    std::chrono::duration_cast<Milliseconds>(aDefault).count());
  return Milliseconds(
    aReader.InRange<unsigned>(aKey, fallback, aMin, kMaxMilliseconds));
}

auto ReadEndpoint(ObjectReader& aReader, const std::string& aKey,
                  const std::string& aText) -> Endpoint
{
  return Handle([&] { return ParseEndpoint(aText); },
                [&](const Error& aError) -> Endpoint {
                  aReader.Reject(aKey, aError.message_, aError.remedy_);
                });
}

auto ReadAddress(ObjectReader& aReader, const std::string& aKey) -> std::string
{
  const auto text = aReader.Optional<std::string>(aKey, "");
  if (!text.empty()) {
    ReadEndpoint(aReader, aKey, text);
  }
  return text;
}

auto ReadCallers(const json& aObject) -> CallerSettings
{
  auto reader = Reader(aObject, "callers");
  CallerSettings settings;
  settings.listen_ =
    ReadEndpoint(reader, "listen", reader.Required<std::string>("listen"));
  settings.threads_ = reader.InRange<unsigned>("threads", 2, 1, 64);
  settings.maxBodyBytes_ = reader.InRange<unsigned>(
    "max_body_bytes", static_cast<unsigned>(settings.maxBodyBytes_), 1024,
    64U << 20U);
  settings.maxInFlight_ = reader.InRange<unsigned>(
    "max_in_flight", settings.maxInFlight_, 1, 1'000'000);
  settings.idle_ = ReadMilliseconds(reader, "idle_ms", settings.idle_, 1000);
  settings.hostListLifetime_ =
    ReadMilliseconds(reader, "keep_hosts_ms", settings.hostListLifetime_, 100);
  reader.RejectUnknown();
  return settings;
}

auto ReadPeers(const json& aObject) -> PeerSettings
{
  auto reader = Reader(aObject, "peers");
  PeerSettings settings;
  settings.listen_ =
    ReadEndpoint(reader, "listen", reader.Required<std::string>("listen"));
  for (const auto& seed :
       reader.Optional<std::vector<std::string>>("seeds", {})) {
    settings.seeds_.push_back(ReadEndpoint(reader, "seeds", seed));
  }
  settings.sharedKey_ = reader.Required<std::string>("shared_key");
  if (settings.sharedKey_.size() < kMinKeyBytes) {
    reader.Reject("shared_key", "is too short",
                  "give at least 16 characters, the same on all hosts");
  }
  settings.heartbeat_ =
    ReadMilliseconds(reader, "heartbeat_ms", settings.heartbeat_, 20);
  settings.suspectAfter_ =
    ReadMilliseconds(reader, "suspect_after_ms", 8 * settings.heartbeat_, 100);
  settings.goneAfter_ =
    ReadMilliseconds(reader, "gone_after_ms", 4 * settings.suspectAfter_, 200);
  if (settings.suspectAfter_ < 2 * settings.heartbeat_) {
    reader.Reject("suspect_after_ms", "is below two heartbeats",
                  "raise it, or lower heartbeat_ms");
  }
  if (settings.goneAfter_ < settings.suspectAfter_) {
    reader.Reject("gone_after_ms", "is below suspect_after_ms", "raise it");
  }
  reader.RejectUnknown();
  return settings;
}

auto ReadPlatform(const json& aObject) -> PlatformSettings
{
  auto reader = Reader(aObject, "platform");
  PlatformSettings settings;
  settings.table_ = ReadAddress(reader, "table");
  settings.objects_ = ReadAddress(reader, "objects");
  settings.members_ = ReadAddress(reader, "members");
  settings.timeout_ =
    ReadMilliseconds(reader, "timeout_ms", settings.timeout_, 10);
  settings.membersPeriod_ =
    ReadMilliseconds(reader, "members_period_ms", settings.membersPeriod_, 50);
  settings.headPeriod_ =
    ReadMilliseconds(reader, "head_period_ms", settings.headPeriod_, 50);
  reader.RejectUnknown();
  return settings;
}

auto ReadBackends(const json& aObject) -> BackendSettings
{
  auto reader = Reader(aObject, "backends");
  BackendSettings settings;
  settings.connect_ =
    ReadMilliseconds(reader, "connect_ms", settings.connect_, 1);
  settings.idle_ = ReadMilliseconds(reader, "idle_ms", settings.idle_, 0);
  settings.attempts_ =
    reader.InRange<unsigned>("attempts", settings.attempts_, 1, 10);
  settings.retryShare_ =
    reader.InRange<double>("retry_share", settings.retryShare_, 0.0, 1.0);
  settings.overcommit_ =
    reader.InRange<double>("overcommit", settings.overcommit_, 0.0, 64.0);
  reader.RejectUnknown();
  return settings;
}

auto ReadOnce(const json& aObject) -> OnceSettings
{
  auto reader = Reader(aObject, "once");
  OnceSettings settings;
  settings.batchPeriod_ =
    ReadMilliseconds(reader, "batch_ms", settings.batchPeriod_, 0);
  settings.keyRetention_ = std::chrono::seconds(
    reader.InRange<unsigned>("keep_s", 86'400, 60, 30 * 86'400));
  settings.pollPeriod_ =
    ReadMilliseconds(reader, "poll_ms", settings.pollPeriod_, 5);
  reader.RejectUnknown();
  return settings;
}

auto ReadAll(const json& aDocument) -> Settings
{
  auto reader = Reader(aDocument, "");
  Settings settings{
    .host_ = { reader.Required<std::string>("host") },
    .zone_ = { reader.Required<std::string>("availability_zone") },
    .callers_ = ReadCallers(reader.Child("callers")),
    .peers_ = ReadPeers(reader.Child("peers")),
    .platform_ = ReadPlatform(reader.Child("platform")),
    .backends_ = ReadBackends(reader.Child("backends")),
    .once_ = ReadOnce(reader.Child("once")),
  };
  settings.maxStopDuration_ =
    ReadMilliseconds(reader, "stop_ms", settings.maxStopDuration_, 0);
  const auto format = reader.Optional<std::string>("log_format", "json");
  if (format != "json" && format != "text") {
    reader.Reject("log_format", "is not a format", "use json or text");
  }
  settings.jsonLogs_ = format == "json";
  settings.logLevel_ = reader.Optional<std::string>("log_level", "info");
  if (!std::set<std::string>{ "debug", "info", "warning", "error" }.contains(
        settings.logLevel_)) {
    reader.Reject("log_level", "is not a level",
                  "use debug, info, warning or error");
  }
  settings.collector_ = ReadAddress(reader, "collector");
  settings.tracesPerSecond_ = reader.InRange<unsigned>(
    "traces_per_s", settings.tracesPerSecond_, 0, 100'000);
  reader.RejectUnknown();
  if (settings.host_.Empty()) {
    reader.Reject("host", "is empty", "give each entry host its own name");
  }
  return settings;
}

} // namespace

auto ParseEndpoint(const std::string& aText) -> Result<Endpoint>
{
  const auto invalid = [&] {
    return Fail({ .kind_ = ErrorKind::InvalidArgument,
                  .message_ = "is not an address: '" + aText + "'",
                  .remedy_ = "write IP:PORT, such as 127.0.0.1:8001" });
  };
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return invalid();
  }
  Endpoint endpoint{ .ip_ = aText.substr(0, colon) };
  const auto* end = aText.data() + aText.size();
  const auto parsed =
    std::from_chars(aText.data() + colon + 1, end, endpoint.port_);
  in_addr address{};
  if (parsed.ec != std::errc() || parsed.ptr != end ||
      inet_pton(AF_INET, endpoint.ip_.c_str(), &address) != 1) {
    return invalid();
  }
  return endpoint;
}

auto ParseSettings(const std::string& aText) -> Result<Settings>
{
  const auto document = json::parse(aText, nullptr, false, true);
  if (document.is_discarded()) {
    return Fail({ .kind_ = ErrorKind::InvalidSettings,
                  .message_ = "the settings are not JSON",
                  .remedy_ = "check commas, quotes and braces; comments are "
                             "allowed" });
  }
  return internal::ReadDocument([&] { return ReadAll(document); });
}

auto LoadSettings(const std::string& aFile) -> Result<Settings>
{
  const std::ifstream file(aFile);
  if (!file) {
    return Fail({ .kind_ = ErrorKind::NotFound,
                  .message_ = aFile + ": cannot be read",
                  .remedy_ = "check the name and the permissions" });
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ChangeError([&] { return ParseSettings(text.str()); },
                     [&](Error aError) {
                       aError.message_ = aFile + ": " + aError.message_;
                       return aError;
                     });
}

} // namespace goldcrestcroft

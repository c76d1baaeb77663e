#include "NodeSettings.h"

#include "../Core/ObjectReader.h"
#include "Net.h"

#include <fstream>
#include <sstream>

namespace goldcrestcroft {

namespace {

using internal::ObjectReader;
using nlohmann::json;

constexpr unsigned kMaxPort = 65'534;
constexpr double kMaxRetrySlack = 1e6;
constexpr double kMaxCores = 1e4;
constexpr double kMaxMbps = 1e7;
constexpr std::size_t kMaxCallers = 1'000'000;
constexpr std::size_t kMinMemoryMb = 64;
constexpr std::size_t kMaxMemoryMb = 1'000'000;
constexpr std::size_t kMaxDescriptors = 10'000'000;
constexpr std::size_t kMinHeaderFields = 16;
constexpr std::size_t kMaxHeaderFields = 1'000'000;
constexpr std::size_t kMaxBodyRate = 1'000'000'000;
constexpr unsigned kMinPropagationMs = 500;
constexpr unsigned kMaxPropagationMs = 600'000;

auto ReadAddress(ObjectReader& aReader, const std::string& aKey) -> std::string
{
  auto text = aReader.Optional<std::string>(aKey, "");
  if (!text.empty() && ParseTcpEndpoint(text).port() == 0) {
    aReader.Reject(aKey, "is not an address", "write IP:PORT");
  }
  return text;
}

auto ReadSeconds(ObjectReader& aReader, const std::string& aKey,
                 Duration aDefault) -> Duration
{
  constexpr auto kMaxSeconds = 3600.0;
  const auto seconds = aReader.InRange<double>(
    aKey, std::chrono::duration<double>(aDefault).count(), 0.1, kMaxSeconds);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
}

/** \brief What the host has, and limits that protect it from its clients. */
auto ReadClientBounds(ObjectReader& aReader, NodeSettings& aSettings) -> void
{
  const auto read = [&](const char* aKey, std::size_t& aValue, std::size_t aMin,
                        std::size_t aMax) {
    aValue = aReader.InRange<std::size_t>(aKey, aValue, aMin, aMax);
  };
  read("memory_mb", aSettings.memoryMb_, kMinMemoryMb, kMaxMemoryMb);
  read("file_descriptors", aSettings.fileDescriptors_, 0, kMaxDescriptors);
  read("most_callers", aSettings.maxCallers_, 1, kMaxCallers);
  read("max_header_fields", aSettings.maxHeaderFields_, kMinHeaderFields,
       kMaxHeaderFields);
  read("min_body_rate", aSettings.minBodyRate_, 0, kMaxBodyRate);
  read("max_listener_connections", aSettings.maxListenerConnections_, 1,
       kMaxCallers);
  aSettings.maxBodyTime_ =
    ReadSeconds(aReader, "max_body_s", aSettings.maxBodyTime_);
  aSettings.writeTimeout_ =
    ReadSeconds(aReader, "write_timeout_s", aSettings.writeTimeout_);
}

auto ReadSettings(const json& aDocument) -> NodeSettings
{
  ObjectReader reader(aDocument, "", ErrorKind::InvalidSettings);
  NodeSettings settings{ .host_ = reader.Required<std::string>("host"),
                         .zone_ =
                           reader.Required<std::string>("availability_zone"),
                         .ip_ = reader.Required<std::string>("ip") };
  settings.callers_ = ReadAddress(reader, "callers");
  settings.readiness_ = ReadAddress(reader, "readiness");
  settings.directory_ = ReadAddress(reader, "directory");
  settings.metrics_ = ReadAddress(reader, "metrics");
  settings.store_ = ReadAddress(reader, "store");
  settings.peerPort_ = static_cast<std::uint16_t>(
    reader.InRange<unsigned>("peer_port", 0, 1, kMaxPort));
  settings.seeds_ = reader.Optional<std::vector<std::string>>("seeds", {});
  settings.logLevel_ =
    reader.Optional<std::string>("log_level", settings.logLevel_);
  settings.grace_ = ReadSeconds(reader, "grace_s", settings.grace_);
  settings.directoryKeep_ =
    ReadSeconds(reader, "directory_keep_s", settings.directoryKeep_);
  settings.retryWindow_ =
    ReadSeconds(reader, "repeat_window_s", settings.retryWindow_);
  settings.retryRatio_ =
    reader.InRange<double>("repeat_ratio", settings.retryRatio_, 0.0, 1.0);
  settings.retrySlack_ = reader.InRange<double>(
    "repeat_slack", settings.retrySlack_, 0.0, kMaxRetrySlack);
  settings.cores_ =
    reader.InRange<double>("cores", settings.cores_, 0.0, kMaxCores);
  settings.linkMbps_ =
    reader.InRange<double>("link_mbps", settings.linkMbps_, 0.0, kMaxMbps);
  settings.maxEngineBackoff_ =
    ReadSeconds(reader, "longest_engine_pause_s", settings.maxEngineBackoff_);
  settings.propagationTarget_ =
    std::chrono::milliseconds{ reader.InRange<unsigned>(
      "news_within_ms",
      static_cast<unsigned>(ToMilliseconds(settings.propagationTarget_)),
      kMinPropagationMs, kMaxPropagationMs) };
  ReadClientBounds(reader, settings);
  reader.RejectUnknown();
  if (settings.callers_.empty()) {
    reader.Reject("callers", "is missing", "add the address for callers");
  }
  if (settings.store_.empty()) {
    reader.Reject("store", "is missing", "add the address of the store");
  }
  return settings;
}

} // namespace

auto ParseNodeSettings(const std::string& aText) -> Result<NodeSettings>
{
  const auto document = json::parse(aText, nullptr, false, true);
  if (document.is_discarded()) {
    return Fail({ .kind_ = ErrorKind::InvalidSettings,
                  .message_ = "the settings are not JSON",
                  .remedy_ = "write one JSON object; comments are allowed" });
  }
  return internal::ReadDocument([&] { return ReadSettings(document); });
}

auto LoadNodeSettings(const std::string& aFile) -> Result<NodeSettings>
{
  std::ifstream file(aFile);
  if (!file) {
    return Fail({ .kind_ = ErrorKind::InvalidSettings,
                  .message_ = "settings file '" + aFile + "' cannot be read",
                  .remedy_ = "name an existing file in "
                             "GOLDCRESTCROFT_NODE_FILE" });
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ChangeError([&] { return ParseNodeSettings(text.str()); },
                     [&](Error aError) {
                       aError.message_ = aFile + ": " + aError.message_;
                       return aError;
                     });
}

auto ApplyReload(const NodeSettings& aRunning, const NodeSettings& aChanged)
  -> SettingsReload
{
  SettingsReload reload{ .settings_ = aChanged };
  const auto keepCurrent = [&](const char* aName, auto aMember) {
    if (aRunning.*aMember != aChanged.*aMember) {
      reload.settings_.*aMember = aRunning.*aMember;
      reload.needsRestart_ += reload.needsRestart_.empty() ? "" : " ";
      reload.needsRestart_ += aName;
    }
  };
  keepCurrent("host", &NodeSettings::host_);
  keepCurrent("availability_zone", &NodeSettings::zone_);
  keepCurrent("ip", &NodeSettings::ip_);
  keepCurrent("callers", &NodeSettings::callers_);
  keepCurrent("readiness", &NodeSettings::readiness_);
  keepCurrent("directory", &NodeSettings::directory_);
  keepCurrent("metrics", &NodeSettings::metrics_);
  keepCurrent("peer_port", &NodeSettings::peerPort_);
  keepCurrent("store", &NodeSettings::store_);
  keepCurrent("cores", &NodeSettings::cores_);
  keepCurrent("link_mbps", &NodeSettings::linkMbps_);
  keepCurrent("max_listener_connections",
              &NodeSettings::maxListenerConnections_);
  keepCurrent("repeat_window_s", &NodeSettings::retryWindow_);
  keepCurrent("news_within_ms", &NodeSettings::propagationTarget_);
  return reload;
}

} // namespace goldcrestcroft

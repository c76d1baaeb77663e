#include "NodeSettings.h"

#include "../Observability/Log.h"
#include "Net.h"
#include "SettingsReader.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace goldcrestcroft {

namespace {

using internal::SettingsReader;
using nlohmann::json;

constexpr std::uint16_t kMaxPort = 65'534;
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
constexpr int kMinPropagationMs = 500;
constexpr int kMaxPropagationMs = 600'000;

auto ReadAddress(SettingsReader& aReader, const std::string& aKey)
  -> std::string
{
  auto text = aReader.Text(aKey, "");
  if (!text.empty() && ParseTcpEndpoint(text).port() == 0) {
    aReader.Reject(aKey, "is not an address", "write IP:PORT");
  }
  return text;
}

auto ReadSeconds(SettingsReader& aReader, const std::string& aKey,
                 Duration aDefault) -> Duration
{
  constexpr auto kMinSeconds = 0.1;
  constexpr auto kMaxSeconds = 3600.0;
  const auto seconds =
    aReader.Number(aKey, std::chrono::duration<double>(aDefault).count(),
                   kMinSeconds, kMaxSeconds);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
}

auto ReadLogLevel(SettingsReader& aReader, const std::string& aDefault)
  -> std::string
{
  const auto level = aReader.Text("log_level", aDefault);
  const auto known = { "debug", "info", "warning", "warn", "error", "err" };
  if (std::find(known.begin(), known.end(), level) == known.end()) {
    aReader.Warn("log_level", "is not a level; '" + aDefault + "' is used");
    return aDefault;
  }
  return level;
}

/** \brief What the host has, and limits that protect it from its clients. */
auto ReadClientBounds(SettingsReader& aReader, NodeSettings& aSettings) -> void
{
  const auto read = [&](const char* aKey, std::size_t& aValue, std::size_t aMin,
                        std::size_t aMax) {
    aValue = aReader.Whole(aKey, aValue, aMin, aMax);
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

/** \brief The first of two consecutive ports. */
auto ReadFirstPort(SettingsReader& aReader) -> std::uint16_t
{
  constexpr auto kNone = 0.0;
  constexpr auto kAny = 1e9;
  const auto port = aReader.Number("peer_port", kNone, -kAny, kAny);
  if (port < 1.0 || port > kMaxPort) {
    aReader.Reject("peer_port", "is not a port",
                   fmt::format("give a number from 1 to {}", kMaxPort));
  }
  return static_cast<std::uint16_t>(port);
}

/** \brief What identifies the host and where it serves: nothing of it has a
 * default. */
auto ReadIdentity(SettingsReader& aReader) -> NodeSettings
{
  NodeSettings settings{ .host_ = aReader.RequiredText("host"),
                         .zone_ = aReader.RequiredText("availability_zone"),
                         .ip_ = aReader.RequiredText("ip") };
  boost::system::error_code error;
  asio::ip::make_address_v4(settings.ip_, error);
  if (error) {
    aReader.Reject("ip", "is not an IPv4 address", "write A.B.C.D");
  }
  settings.callers_ = ReadAddress(aReader, "callers");
  settings.readiness_ = ReadAddress(aReader, "readiness");
  settings.directory_ = ReadAddress(aReader, "directory");
  settings.metrics_ = ReadAddress(aReader, "metrics");
  settings.store_ = ReadAddress(aReader, "store");
  if (settings.callers_.empty()) {
    aReader.Reject("callers", "is missing", "add the address for callers");
  }
  if (settings.store_.empty()) {
    aReader.Reject("store", "is missing", "add the address of the store");
  }
  settings.peerPort_ = ReadFirstPort(aReader);
  return settings;
}

auto ReadSettings(const json& aDocument) -> LoadedSettings
{
  SettingsReader reader(aDocument);
  auto settings = ReadIdentity(reader);
  settings.seeds_ = reader.Texts("seeds");
  settings.logLevel_ = ReadLogLevel(reader, settings.logLevel_);
  settings.grace_ = ReadSeconds(reader, "grace_s", settings.grace_);
  settings.directoryKeep_ =
    ReadSeconds(reader, "directory_keep_s", settings.directoryKeep_);
  settings.retryWindow_ =
    ReadSeconds(reader, "repeat_window_s", settings.retryWindow_);
  settings.retryRatio_ =
    reader.Number("repeat_ratio", settings.retryRatio_, 0.0, 1.0);
  settings.retrySlack_ =
    reader.Number("repeat_slack", settings.retrySlack_, 0.0, kMaxRetrySlack);
  settings.cores_ = reader.Number("cores", settings.cores_, 0.0, kMaxCores);
  settings.linkMbps_ =
    reader.Number("link_mbps", settings.linkMbps_, 0.0, kMaxMbps);
  settings.maxEngineBackoff_ =
    ReadSeconds(reader, "longest_engine_pause_s", settings.maxEngineBackoff_);
  settings.propagationTarget_ = std::chrono::milliseconds{ reader.Whole<int>(
    "news_within_ms",
    static_cast<int>(ToMilliseconds(settings.propagationTarget_)),
    kMinPropagationMs, kMaxPropagationMs) };
  ReadClientBounds(reader, settings);
  return { .settings_ = std::move(settings), .warnings_ = reader.Warnings() };
}

} // namespace

auto ParseNodeSettings(const std::string& aText) -> Result<LoadedSettings>
{
  const auto document = json::parse(aText, nullptr, false, true);
  if (document.is_discarded()) {
    return Fail({ .kind_ = ErrorKind::InvalidSettings,
                  .message_ = "the settings are not JSON",
                  .remedy_ = "write one JSON object; comments are allowed" });
  }
  return internal::ReadDocument([&] { return ReadSettings(document); });
}

auto LoadNodeSettings(const std::string& aFile) -> Result<LoadedSettings>
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

auto LogWarnings(const LoadedSettings& aLoaded) -> void
{
  for (const auto& warning : aLoaded.warnings_) {
    Log::Write(LogLevel::Warning, "setting_adjusted",
               { { "reason", warning },
                 { "remedy", "correct it in the settings file or its "
                             "template" } });
  }
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

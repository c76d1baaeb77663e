#include "../Core/Signals.h"
#include "../Gateway/NodeSettings.h"
#include "../Observability/Log.h"
#include "../Server/EntryHost.h"
#include "../Server/Http/SimpleHttp.h"
#include "Command.h"

#include <absl/flags/flag.h>

#include <cstdio>

ABSL_FLAG(std::string, settings, "", "settings file, for serve");
ABSL_FLAG(bool, embedded, false,
          "keep the platform's part in memory; for one host and a first try");
ABSL_FLAG(std::string, config, "",
          "configuration document that an embedded host starts with");

namespace goldcrestcroft {

namespace {

// Settings of an embedded host that is started without a settings file.
constexpr auto kEmbeddedSettings = R"({
  "host": "embedded", "availability_zone": "local",
  "callers": { "listen": "127.0.0.1:8080" },
  "peers": { "listen": "127.0.0.1:9080",
             "shared_key": "embedded-host-without-peers" },
  "log_format": "text"
})";

auto ReadOptions() -> Result<EntryHost::Options>
{
  EntryHost::Options options{ .embedded_ = absl::GetFlag(FLAGS_embedded) };
  const auto file = absl::GetFlag(FLAGS_settings);
  if (file.empty() && options.embedded_) {
    BOOST_LEAF_ASSIGN(options.settings_, ParseSettings(kEmbeddedSettings));
  } else {
    BOOST_LEAF_ASSIGN(options.settings_, LoadSettings(file));
  }
  if (!options.embedded_ && options.settings_.platform_.table_.empty()) {
    return Fail({ .kind_ = ErrorKind::InvalidSettings,
                  .message_ = file + ": 'platform.table' is missing",
                  .remedy_ = "add the table service's address, or use "
                             "--embedded for a first try" });
  }
  const auto config = absl::GetFlag(FLAGS_config);
  if (!config.empty()) {
    BOOST_LEAF_ASSIGN(options.embeddedConfig_, ReadFile(config));
  }
  return options;
}

/** Returns on SIGTERM or SIGINT. SIGHUP is ignored: `serve` does not reload its
 * settings. */
auto WaitForStopSignal() -> void
{
  const auto signals = HandledSignals();
  auto received = SIGHUP;
  while (received == SIGHUP) {
    sigwait(&signals, &received);
  }
}

} // namespace

auto RunServe(const std::vector<std::string>&) -> int
{
  return Handle(
    [&]() -> Result<int> {
      BOOST_LEAF_AUTO(options, ReadOptions());
      Log::Configure({ .json_ = options.settings_.jsonLogs_,
                       .level_ = options.settings_.logLevel_,
                       .host_ = options.settings_.host_ });
      BOOST_LEAF_AUTO(host, EntryHost::Start(std::move(options)));
      WaitForStopSignal();
      host->StopGracefully();
      return 0;
    },
    ReportError);
}

auto RunCheck(const std::vector<std::string>& aArguments) -> int
{
  if (aArguments.size() != 1) {
    return UsageError("check FILE");
  }
  return Handle(
    [&]() -> Result<int> {
      BOOST_LEAF_AUTO(text, ReadFile(aArguments[0]));
      // Only settings of `entry` contain the key "store".
      if (text.find("\"store\"") != std::string::npos) {
        BOOST_LEAF_AUTO(loaded, LoadNodeSettings(aArguments[0]));
        for (const auto& warning : loaded.warnings_) {
          std::fprintf(stderr, "goldcrestcroft: %s: %s\n",
                       aArguments[0].c_str(), warning.c_str());
        }
        if (!loaded.warnings_.empty()) {
          return kExitInvalidSettings;
        }
        std::printf("%s: valid settings of entry\n", aArguments[0].c_str());
        return 0;
      }
      // Only configuration documents contain "pools" or "pipelines".
      const auto isConfig = text.find("\"pipelines\"") != std::string::npos ||
                            text.find("\"pools\"") != std::string::npos;
      if (isConfig) {
        BOOST_LEAF_CHECK(ConfigVersion::FromDocument(1, text));
      } else {
        BOOST_LEAF_CHECK(LoadSettings(aArguments[0]));
      }
      std::printf("%s: valid %s\n", aArguments[0].c_str(),
                  isConfig ? "configuration" : "settings");
      return 0;
    },
    ReportError);
}

} // namespace goldcrestcroft

#include "../../Gateway.h"
#include "../Core/Signals.h"
#include "../Observability/Log.h"
#include "ProcessMain.h"
#include <platform/StoreClient.h>
#include <platform/TableCodec.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace goldcrestcroft {

namespace {

constexpr auto kFileVariable = "GOLDCRESTCROFT_NODE_FILE";

auto SettingsFile(const std::vector<std::string>& aArguments) -> std::string
{
  const auto* fromEnvironment = std::getenv(kFileVariable);
  return !aArguments.empty()          ? aArguments[0]
         : fromEnvironment != nullptr ? fromEnvironment
                                      : "";
}

/** Whether the file holds a whole JSON document, valid settings or not. */
auto HoldsDocument(const std::string& aFile) -> bool
{
  constexpr auto kIgnoreComments = true;
  std::ifstream file(aFile);
  return file && nlohmann::json::accept(file, kIgnoreComments);
}

/** Waits for a file that is still being written. Returns false if a signal
 * asked the process to stop meanwhile. */
auto AwaitDocument(const std::string& aFile) -> bool
{
  constexpr auto kMaxWait = std::chrono::seconds{ 30 };
  constexpr auto kPause = std::chrono::milliseconds{ 50 };
  const auto deadline = std::chrono::steady_clock::now() + kMaxWait;
  auto logged = false;
  while (!HoldsDocument(aFile) && std::chrono::steady_clock::now() < deadline) {
    if (!std::exchange(logged, true)) {
      // The log is configured by the settings.
      std::fprintf(stderr,
                   "goldcrestcroft: settings file '%s' is missing or "
                   "incomplete; it is read again for %d s\n",
                   aFile.c_str(), static_cast<int>(kMaxWait.count()));
    }
    if (AwaitStopSignal(kPause)) {
      return false;
    }
  }
  return true;
}

/** Increases with each start of this host. */
auto NewIncarnation() -> Incarnation
{
  return static_cast<Incarnation>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

} // namespace

auto RunEntry(const std::vector<std::string>& aArguments) -> int
{
  return Handle(
    [&]() -> Result<int> {
      const auto file = SettingsFile(aArguments);
      if (!file.empty() && !AwaitDocument(file)) {
        std::fputs("goldcrestcroft: stopped by a signal before the settings "
                   "were complete\n",
                   stderr);
        return 0;
      }
      BOOST_LEAF_AUTO(loaded, LoadNodeSettings(file));
      const auto& settings = loaded.settings_;
      Log::Configure({ .level_ = settings.logLevel_,
                       .host_ = { settings.host_ },
                       .standardOutput_ = true });
      LogWarnings(loaded);
      const platform::TableCodec codec;
      const auto makeStore = [&](asio::io_context& aContext,
                                 Duration aTimeout) {
        constexpr Duration kMaxConnectTime = std::chrono::milliseconds{ 1000 };
        return std::make_unique<platform::StoreClient>(
          aContext, platform::StoreClient::Options{
                      .address_ = settings.store_,
                      .timeout_ = aTimeout,
                      .connectTimeout_ = std::min(aTimeout, kMaxConnectTime) });
      };
      EntryGateway gateway({ .settings_ = settings,
                             .settingsFile_ = file,
                             .incarnation_ = NewIncarnation() },
                           codec, makeStore);
      BOOST_LEAF_CHECK(gateway.Run());
      return 0;
    },
    ReportError);
}

} // namespace goldcrestcroft

#include "../../Gateway.h"
#include "../Observability/Log.h"
#include "ProcessMain.h"
#include <platform/StoreClient.h>
#include <platform/TableCodec.h>

#include <algorithm>
#include <cstdlib>

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

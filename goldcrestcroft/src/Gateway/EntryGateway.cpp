#include "EntryGateway.h"

#include "../Core/Signals.h"
#include "../Observability/Log.h"
#include "BackgroundTask.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <filesystem>

namespace goldcrestcroft {

namespace {

/** Callers that keep an answer of the directory three times as long as it says
 * still find this host. */
constexpr auto kKeepAnswers = 3;
/** How soon a settings file that changed without a signal is read. */
constexpr auto kLookAtSettings = std::chrono::seconds{ 1 };
constexpr auto kLookForIdle = std::chrono::milliseconds{ 50 };

} // namespace

EntryGateway::EntryGateway(Options aOptions, const PlatformCodec& aCodec,
                           const MakeStore& aMakeStore)
  : options_(std::move(aOptions))
  , codec_(aCodec)
  , store_(aMakeStore(controlContext_))
  , traffic_(
      trafficContext_, { .settings_ = options_.settings_ }, aCodec, metrics_,
      { .lost_ =
          [this](const LostRun& aRun) {
            asio::post(controlContext_,
                       [this, aRun] { control_.ReportLost(aRun); });
          },
        .unanswered_ =
          [this](const UnansweredRun& aRun) {
            asio::post(controlContext_,
                       [this, aRun] { control_.EntrustToKeepers(aRun); });
          },
        .suspect_ =
          [this](const SuspectNotice& aNotice) {
            asio::post(controlContext_,
                       [this, aNotice] { control_.SpreadSuspect(aNotice); });
          },
        .leaving_ =
          [this](const LeavingEngine& aEngine) {
            asio::post(controlContext_,
                       [this, aEngine] { control_.SpreadLeaving(aEngine); });
          },
        .limit_ =
          [this](const EngineLimit& aWord) {
            asio::post(controlContext_,
                       [this, aWord] { control_.SpreadLimit(aWord); });
          },
        .permit_ =
          [this](const PermitWish& aWish) {
            asio::post(controlContext_,
                       [this, aWish] { control_.SeekPermit(aWish); });
          } })
  , control_(controlContext_,
             { .settings_ = options_.settings_,
               .incarnation_ = options_.incarnation_ },
             aCodec, *store_, metrics_, Listener())
  , ready_(trafficContext_, [this](const auto&) { return Ready(); })
  , directory_(trafficContext_,
               [this](const auto& aTarget) { return Directory(aTarget); })
  , exposition_(trafficContext_, [this](const auto&) {
    return SmallServer::Answer{ .contentType_ = "text/plain; version=0.0.4",
                                .body_ = metrics_.Expose() };
  })
{
}

auto EntryGateway::Listener() -> ControlListener
{
  const auto toTraffic = [this](auto aCall) {
    return [this, aCall](auto aValue) {
      asio::post(trafficContext_, [this, aCall, value = std::move(aValue)] {
        (traffic_.*aCall)(value);
      });
    };
  };
  return { .onRouting_ = toTraffic(&Traffic::SetRouting),
           .onEngines_ = toTraffic(&Traffic::SetEngines),
           .onFleet_ = toTraffic(&Traffic::SetFleet),
           .onSuspect_ = toTraffic(&Traffic::OnSuspect),
           .onLeaving_ = toTraffic(&Traffic::OnLeaving),
           .onLimit_ = toTraffic(&Traffic::OnLimit),
           .onPermit_ = toTraffic(&Traffic::OnPermit) };
}

auto EntryGateway::Ready() const -> SmallServer::Answer
{
  const auto ready = traffic_.IsConfigured() && traffic_.KnowsEngines() &&
                     !traffic_.IsStopping();
  return { .status_ = ready ? 200 : 503,
           .body_ = ready ? R"({"ready":true})" : R"({"ready":false})" };
}

auto EntryGateway::Directory(const std::string& aTarget) const
  -> SmallServer::Answer
{
  if (!aTarget.starts_with(codec_.DirectoryPath())) {
    return { .status_ = 404, .body_ = "{}" };
  }
  // With one address a caller has nowhere to go when it fails.
  constexpr std::size_t kLeastAddresses = 2;
  const auto addresses = ChooseAddresses(
    traffic_.Fleet(), codec_.DirectoryZone(aTarget), kLeastAddresses);
  if (addresses.empty()) {
    return { .status_ = 503, .body_ = "{}" };
  }
  return { .body_ = codec_.EncodeDirectory(addresses,
                                           options_.settings_.directoryKeep_) };
}

auto EntryGateway::StartSmallServers() -> Result<void>
{
  const auto& settings = options_.settings_;
  if (!settings.readiness_.empty()) {
    BOOST_LEAF_CHECK(ready_.Start(settings.readiness_));
  }
  if (!settings.directory_.empty()) {
    BOOST_LEAF_CHECK(directory_.Start(settings.directory_));
  }
  if (!settings.metrics_.empty()) {
    BOOST_LEAF_CHECK(exposition_.Start(settings.metrics_));
  }
  return {};
}

auto EntryGateway::Run() -> Result<void>
{
  BOOST_LEAF_CHECK(traffic_.Start());
  BOOST_LEAF_CHECK(StartSmallServers());
  BOOST_LEAF_CHECK(control_.Start());
  Log::Write(LogLevel::Info, "started",
             { { "zone", options_.settings_.zone_ },
               { "callers", options_.settings_.callers_ },
               { "store", options_.settings_.store_ } });
  asio::co_spawn(
    trafficContext_,
    KeepRunning("await_signals", [this] { return AwaitSignals(); }),
    LogFailure{ "await_signals" });
  asio::co_spawn(
    trafficContext_,
    KeepRunning("watch_settings", [this] { return WatchSettings(); }),
    LogFailure{ "watch_settings" });
  std::thread traffic([this] { RunLoop("traffic", trafficContext_); });
  RunLoop("control", controlContext_);
  traffic.join();
  trafficContext_.DropWork();
  controlContext_.DropWork();
  Log::Write(LogLevel::Info, "stopped");
  return {};
}

auto EntryGateway::AwaitSignals() -> Task<void>
{
  asio::signal_set signals(trafficContext_, SIGTERM, SIGINT, SIGHUP);
  UnblockSignals();
  for (;;) {
    const auto [error, signal] = co_await signals.async_wait(kAsTuple);
    if (error) {
      co_return;
    }
    if (signal != SIGHUP) {
      break;
    }
    Reload();
  }
  co_await StopGracefully();
}

auto EntryGateway::WatchSettings() -> Task<void>
{
  asio::steady_timer timer(trafficContext_);
  const auto read = [this] {
    std::error_code ignored; // A file that is away for a moment is no change.
    return std::filesystem::last_write_time(options_.settingsFile_, ignored);
  };
  for (auto last = read();;) {
    timer.expires_after(kLookAtSettings);
    co_await timer.async_wait(kAsTuple);
    const auto now = read();
    if (now != last && now != std::filesystem::file_time_type::min()) {
      last = now;
      Reload();
    }
  }
}

auto EntryGateway::Reload() -> void
{
  Handle(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(changed, LoadNodeSettings(options_.settingsFile_));
      const auto reload = ApplyReload(options_.settings_, changed);
      Log::Write(LogLevel::Info, "settings_reloaded",
                 { { "same", changed == options_.settings_ ? "true" : "false" },
                   { "at_next_start", reload.atNextStart_ } });
      options_.settings_ = reload.settings_;
      Log::SetLevel(reload.settings_.logLevel_);
      traffic_.SetSettings(reload.settings_);
      asio::post(controlContext_, [this, seeds = reload.settings_.seeds_] {
        control_.SetSeeds(seeds);
      });
      return {};
    },
    [&](const Error& aError) {
      Log::Write(
        LogLevel::Error, "settings_unreadable",
        { { "reason", aError.message_ }, { "remedy", aError.remedy_ } });
    });
}

auto EntryGateway::StopGracefully() -> Task<void>
{
  const StopTimes times(traffic_.Now(), options_.settings_.grace_);
  Log::Write(LogLevel::Info, "stopping",
             { { "requests", std::to_string(traffic_.Running()) } });
  traffic_.Stop(times);
  asio::post(controlContext_, [this] { control_.Leave(); });
  const auto serveUntil =
    times.ServeUntil(options_.settings_.directoryKeep_ * kKeepAnswers);
  asio::steady_timer timer(trafficContext_);
  for (;;) {
    timer.expires_after(kLookForIdle);
    co_await timer.async_wait(kAsTuple);
    const auto now = traffic_.Now();
    if (now >= times.EndAnswers()) {
      traffic_.EndRequests();
    }
    if (now >= times.EndStreams()) {
      break;
    }
    if (now >= serveUntil) {
      traffic_.CloseIdle();
      if (traffic_.Running() == 0) {
        traffic_.StopAccepting();
      }
      if (!traffic_.HasCallers()) {
        break;
      }
    }
  }
  const auto cut = traffic_.Running();
  traffic_.EndStreams();
  // Their ends are logged.
  timer.expires_after(kLookForIdle);
  co_await timer.async_wait(kAsTuple);
  Log::Write(LogLevel::Info, "drained", { { "cut", std::to_string(cut) } });
  controlContext_.stop();
  trafficContext_.stop();
}

} // namespace goldcrestcroft

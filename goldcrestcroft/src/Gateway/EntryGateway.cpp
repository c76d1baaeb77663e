#include "EntryGateway.h"

#include "../Core/Signals.h"
#include "../Observability/Log.h"
#include "BackgroundTask.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <filesystem>

namespace goldcrestcroft {

namespace {

/** A stopping host keeps serving for this many times the lifetime of a
 * directory response, for callers that cache the response longer than it
 * allows. */
constexpr auto kDirectoryLifetimes = 3;
/** How often the settings file is checked for a change without a signal. */
constexpr auto kSettingsPollInterval = std::chrono::seconds{ 1 };
constexpr auto kDrainPollInterval = std::chrono::milliseconds{ 50 };
/** A process that exceeds its grace period is killed; its ports are free soon
 * after. */
constexpr auto kPortReleaseMargin = std::chrono::seconds{ 2 };
/** The network of a machine may come up long after its processes. */
constexpr auto kMaxAddressWait = std::chrono::minutes{ 5 };
/** The store responds within a few milliseconds, or a few hundred while it is
 * slow. */
constexpr auto kStoreTimeout = std::chrono::milliseconds{ 1500 };
/** Callers wait for the calls of the traffic thread. */
constexpr auto kTrafficStoreTimeout = std::chrono::milliseconds{ 400 };

} // namespace

EntryGateway::EntryGateway(Options aOptions, const PlatformCodec& aCodec,
                           const MakeStore& aMakeStore)
  : options_(std::move(aOptions))
  , codec_(aCodec)
  , store_(aMakeStore(controlContext_, kStoreTimeout))
  , trafficStore_(aMakeStore(trafficContext_, kTrafficStoreTimeout))
  , traffic_(trafficContext_, { .settings_ = options_.settings_ }, aCodec,
             *trafficStore_, metrics_,
             { .lost_ =
                 [this](const LostRun& aRun) {
                   asio::post(controlContext_,
                              [this, aRun] { control_.ReportLost(aRun); });
                 },
               .unanswered_ =
                 [this](const UnansweredRun& aRun) {
                   asio::post(controlContext_, [this, aRun] {
                     control_.DelegateToOwners(aRun);
                   });
                 },
               .suspect_ =
                 [this](const SuspectNotice& aNotice) {
                   asio::post(controlContext_, [this, aNotice] {
                     control_.DisseminateSuspect(aNotice);
                   });
                 },
               .leaving_ =
                 [this](const LeavingEngine& aEngine) {
                   asio::post(controlContext_, [this, aEngine] {
                     control_.DisseminateDraining(aEngine);
                   });
                 },
               .limit_ =
                 [this](const EngineLimit& aLimit) {
                   asio::post(controlContext_, [this, aLimit] {
                     control_.DisseminateLimit(aLimit);
                   });
                 },
               .permit_ =
                 [this](const PermitRequest& aRequest) {
                   asio::post(controlContext_, [this, aRequest] {
                     control_.RequestPermit(aRequest);
                   });
                 } })
  , control_(controlContext_,
             { .settings_ = options_.settings_,
               .incarnation_ = options_.incarnation_ },
             aCodec, *store_, metrics_, MakeListener())
  , ready_(
      trafficContext_, [this](const auto&) { return ServeReadiness(); },
      options_.settings_.maxListenerConnections_)
  , directory_(
      trafficContext_,
      [this](const auto& aTarget) { return ServeDirectory(aTarget); },
      options_.settings_.maxListenerConnections_)
  , exposition_(
      trafficContext_,
      [this](const auto&) {
        return SimpleHttpServer::Response{ .contentType_ =
                                             "text/plain; version=0.0.4",
                                           .body_ = metrics_.Expose() };
      },
      options_.settings_.maxListenerConnections_)
{
}

auto EntryGateway::MakeListener() -> ControlListener
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
           .onPermit_ = toTraffic(&Traffic::OnPermit),
           .onStoreRestored_ = toTraffic(&Traffic::OnStoreRestored) };
}

auto EntryGateway::ServeReadiness() const -> SimpleHttpServer::Response
{
  const auto ready = traffic_.IsConfigured() && traffic_.HasEngineList() &&
                     traffic_.Fleet().current_ && !traffic_.IsStopping();
  return { .status_ = ready ? 200 : 503,
           .body_ = ready ? R"({"ready":true})" : R"({"ready":false})" };
}

auto EntryGateway::ServeDirectory(const std::string& aTarget) const
  -> SimpleHttpServer::Response
{
  if (!aTarget.starts_with(codec_.DirectoryPath())) {
    return { .status_ = 404, .body_ = "{}" };
  }
  // With a single address, a caller has no alternative when that host fails.
  constexpr std::size_t kMinAddresses = 2;
  const auto addresses = ChooseAddresses(
    traffic_.Fleet(), codec_.DirectoryZone(aTarget), kMinAddresses);
  if (addresses.empty()) {
    return { .status_ = 503, .body_ = "{}" };
  }
  return { .body_ = codec_.EncodeDirectory(addresses,
                                           options_.settings_.directoryKeep_) };
}

auto EntryGateway::StartAll(const BindRetry& aRetry) -> Result<void>
{
  const auto& settings = options_.settings_;
  BOOST_LEAF_CHECK(control_.Start(aRetry));
  if (!settings.metrics_.empty()) {
    BOOST_LEAF_CHECK(exposition_.Start(settings.metrics_, aRetry));
  }
  if (!settings.readiness_.empty()) {
    BOOST_LEAF_CHECK(ready_.Start(settings.readiness_, aRetry));
  }
  if (!settings.directory_.empty()) {
    BOOST_LEAF_CHECK(directory_.Start(settings.directory_, aRetry));
  }
  // Last, so that no caller connects and waits while another port is taken.
  BOOST_LEAF_CHECK(traffic_.Start(aRetry));
  return {};
}

auto EntryGateway::StartUnlessStopped() -> Result<bool>
{
  // A predecessor that was told to stop ends within its grace period.
  const auto time = options_.settings_.grace_ + kPortReleaseMargin;
  auto stopped = false;
  const auto now = SuspendAwareClock{}.Now();
  const BindRetry retry{ .until_ = now + time,
                         .addressUntil_ = now + kMaxAddressWait,
                         .pause_ = [&](Duration aTime) {
                           stopped = AwaitStopSignal(aTime);
                           return !stopped;
                         } };
  std::optional<Error> failure;
  Handle([&]() -> Result<void> { return StartAll(retry); },
         [&](const Error& aError) { failure = aError; });
  if (failure) {
    DestroyHandlers();
  }
  if (failure && !stopped) {
    return Fail(std::move(*failure));
  }
  return !stopped;
}

auto EntryGateway::DestroyHandlers() -> void
{
  trafficContext_.DestroyHandlers();
  controlContext_.DestroyHandlers();
}

auto EntryGateway::Run() -> Result<void>
{
  BOOST_LEAF_AUTO(started, StartUnlessStopped());
  if (!started) {
    Log::Write(LogLevel::Info, "stopped",
               { { "reason", "a signal came before the start was complete" } });
    return {};
  }
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
  DestroyHandlers();
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
    // A file that is missing for a moment is not a change.
    std::error_code ignored;
    return std::filesystem::last_write_time(options_.settingsFile_, ignored);
  };
  for (auto last = read();;) {
    timer.expires_after(kSettingsPollInterval);
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
      BOOST_LEAF_AUTO(loaded, LoadNodeSettings(options_.settingsFile_));
      LogWarnings(loaded);
      const auto& changed = loaded.settings_;
      const auto reload = ApplyReload(options_.settings_, changed);
      Log::Write(LogLevel::Info, "settings_reloaded",
                 { { "same", changed == options_.settings_ ? "true" : "false" },
                   { "at_next_start", reload.needsRestart_ } });
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
    times.ServeUntil(options_.settings_.directoryKeep_ * kDirectoryLifetimes);
  asio::steady_timer timer(trafficContext_);
  for (;;) {
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(kAsTuple);
    const auto now = traffic_.Now();
    if (now >= times.ResponseDeadline()) {
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
  const auto aborted = traffic_.Running();
  traffic_.EndStreams();
  // Lets the ended requests write their log lines.
  timer.expires_after(kDrainPollInterval);
  co_await timer.async_wait(kAsTuple);
  Log::Write(LogLevel::Info, "drained", { { "cut", std::to_string(aborted) } });
  controlContext_.stop();
  trafficContext_.stop();
}

} // namespace goldcrestcroft

#include "EntryHost.h"

#include "../Observability/Log.h"

#include <nlohmann/json.hpp>

namespace goldcrestcroft {

namespace {

constexpr Duration kQuietPeriod = std::chrono::milliseconds{ 500 };
constexpr Duration kStopPoll = std::chrono::milliseconds{ 20 };

// Hosts store nothing locally, so only time orders the incarnations of a host.
auto MakeIncarnation() -> Incarnation
{
  return static_cast<Incarnation>(
    std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

auto Preload(const std::string& aDocument)
  -> Result<std::shared_ptr<SharedMemoryTable>>
{
  auto memory = std::make_shared<SharedMemoryTable>();
  if (aDocument.empty()) {
    return memory;
  }
  BOOST_LEAF_AUTO(version, ConfigVersion::FromDocument(1, aDocument));
  const auto operations = nlohmann::json::array(
    { { { "op", "replace" },
        { "path", "" },
        { "value", nlohmann::json::parse(version->Document()) } } });
  const ConfigPatch patch{ .number_ = 1,
                           .author_ = "embedded",
                           .operations_ = operations.dump() };
  memory->table_.Transact(
    { { .key_ = { .table_ = "config", .key_ = "000000000001" },
        .value_ = EncodePatch(patch) },
      { .key_ = { .table_ = "config", .key_ = "head" }, .value_ = "1" } });
  return memory;
}

} // namespace

auto EntryHost::Start(Options aOptions) -> Result<std::unique_ptr<EntryHost>>
{
  std::shared_ptr<SharedMemoryTable> memory;
  if (aOptions.embedded_) {
    BOOST_LEAF_ASSIGN(memory, Preload(aOptions.embeddedConfig_));
  }
  BOOST_LEAF_AUTO(socket, PeerSocket::Open(aOptions.settings_.peers_.listen_));
  std::unique_ptr<EntryHost> host(
    new EntryHost(aOptions, std::move(socket), std::move(memory)));
  BOOST_LEAF_CHECK(host->callers_->Start());
  Log::Write(LogLevel::Info, "entry host started",
             { { "callers", aOptions.settings_.callers_.listen_.ToString() },
               { "peers", aOptions.settings_.peers_.listen_.ToString() },
               { "zone", aOptions.settings_.zone_.value_ } });
  return host;
}

EntryHost::EntryHost(const Options& aOptions, PeerSocket aSocket,
                     std::shared_ptr<SharedMemoryTable> aMemory)
  : settings_(aOptions.settings_)
{
  const auto incarnation = MakeIncarnation();
  const auto seed = std::random_device{}();
  control_ = std::make_unique<ControlLoop>(
    ControlLoop::Options{ .settings_ = settings_,
                          .incarnation_ = incarnation,
                          .seed_ = seed,
                          .memory_ = aMemory },
    std::move(aSocket), metrics_,
    [this](TrafficMessage aMail) { traffic_->Post(std::move(aMail)); });
  traffic_ = std::make_unique<TrafficLoop>(
    TrafficLoop::Options{ .settings_ = settings_,
                          .incarnation_ = incarnation,
                          .seed_ = seed + 1,
                          .memory_ = std::move(aMemory) },
    metrics_, [this] { return control_->View(); },
    [this](ControlMessage aMail) { control_->Post(std::move(aMail)); });
  callers_ = std::make_unique<CallerServer>(
    CallerServer::Options{
      .settings_ = settings_,
      .incarnation_ = incarnation,
      .view_ = [this] { return control_->View(); },
      .isFresh_ = [this] { return control_->IsFresh(); },
      .toTraffic_ =
        [this](TrafficMessage aMail) { traffic_->Post(std::move(aMail)); },
      .toControl_ =
        [this](ControlMessage aMail) { control_->Post(std::move(aMail)); } },
    metrics_);
  controlThread_ = std::thread([this] { control_->Run(); });
  trafficThread_ = std::thread([this] { traffic_->Run(); });
}

EntryHost::~EntryHost()
{
  callers_->Stop();
  traffic_->Stop();
  trafficThread_.join();
  control_->Stop();
  controlThread_.join();
}

auto EntryHost::StopGracefully() -> void
{
  Log::Write(LogLevel::Info, "planned stop begins");
  const SteadyClock clock;
  const auto deadline = clock.Now() + settings_.maxStopDuration_;
  control_->StartDraining();
  while (clock.Now() < deadline) {
    std::this_thread::sleep_for(kStopPoll);
    const auto isQuiet = clock.Now() - traffic_->LastBusy() >= kQuietPeriod;
    if (control_->View()->forgotten_ && isQuiet) {
      break;
    }
  }
  Log::Write(LogLevel::Info, "planned stop ends");
}

} // namespace goldcrestcroft

#include "ControlPlane.h"

#include "../Observability/Log.h"
#include "BackgroundTask.h"

#include <algorithm>

namespace goldcrestcroft {

ControlPlane::ControlPlane(asio::io_context& aContext, Options aOptions,
                           const PlatformCodec& aCodec, MetadataStore& aStore,
                           GatewayMetrics& aMetrics, ControlListener aListener)
  : context_(aContext)
  , options_(std::move(aOptions))
  , codec_(aCodec)
  , store_(aStore)
  , metrics_(aMetrics)
  , listener_(std::move(aListener))
  , peers_({ .self_ = { .host_ = { options_.settings_.host_ },
                        .incarnation_ = options_.incarnation_,
                        .zone_ = { options_.settings_.zone_ },
                        .peerAddress_ = options_.settings_.PeerAddress(),
                        .power_ = options_.settings_.Power() } },
           Fingerprint(options_.settings_.host_, options_.incarnation_),
           clock_.Now())
  , engines_({ .decode_ =
                 [this](const std::string& aId, const std::string& aText) {
                   return DecodeEngine(aId, aText);
                 } })
  , heartbeatSocket_(aContext)
  , heldRows_(aContext,
              { .known_ =
                  [this](std::uint64_t aRequest) {
                    return suspects_.Find(aRequest, clock_.Now());
                  },
                .hosts_ = [this] { return peers_.Size(); } },
              aCodec, aStore)
  , confirmation_(
      { .propagationTarget_ = options_.settings_.propagationTarget_ },
      clock_.Now())
  , lastTick_(clock_.Now())
  , startedAt_(lastTick_)
{
  for (const auto table :
       { StoreTable::Configuration, StoreTable::Engines, StoreTable::Hosts }) {
    const auto seed = Fingerprint(options_.settings_.host_ + ToString(table),
                                  options_.incarnation_);
    tables_.emplace(
      table,
      TableWatch({ .bound_ = options_.settings_.propagationTarget_ }, seed));
  }
  UpdateAddresses();
}

auto ControlPlane::DecodeEngine(const std::string& aId,
                                const std::string& aText) -> Result<EngineEntry>
{
  return ChangeError(
    [&] { return codec_.DecodeEngine(aId, aText); },
    [&](const Error& aError) {
      if (unreadableEngines_.Report(aId, aError, clock_.Now())) {
        metrics_.Count("engine_entries_unreadable");
      }
      return aError;
    });
}

auto ControlPlane::Start(const BindRetry& aRetry) -> Result<void>
{
  const auto address = options_.settings_.PeerAddress();
  BOOST_LEAF_AUTO(acceptor, Listen(context_, address, aRetry));
  acceptor_.emplace(std::move(acceptor));
  BOOST_LEAF_CHECK(BindDatagrams(heartbeatSocket_, address, aRetry));
  startedAt_ = lastTick_ = clock_.Now();
  const auto spawn = [&](const char* aTask, auto aMake) {
    asio::co_spawn(context_, KeepRunning(aTask, std::move(aMake)),
                   LogFailure{ aTask });
  };
  spawn("accept_peers", [this] { return AcceptPeers(); });
  spawn("receive_beats", [this] { return ReceiveHeartbeats(); });
  spawn("beat", [this] { return HeartbeatLoop(); });
  for (const auto& [table, followed] : tables_) {
    spawn("follow_store", [this, table = table] { return Follow(table); });
  }
  spawn("announce", [this] { return RegisterHost(); });
  PublishFleet();
  return {};
}

auto ControlPlane::PublishEngines() -> void
{
  const auto engines = engines_.Engines();
  std::map<std::string, std::string> states;
  for (const auto& engine : engines) {
    states[engine.id_] = engine.draining_                  ? "draining"
                         : engine.warmUpLeft_ > Duration{} ? "warming_up"
                                                           : "ready";
  }
  const auto logState = [&](const std::string& aEngine,
                            const std::string& aState) {
    Log::Write(LogLevel::Info, "engine_state",
               { { "engine", aEngine },
                 { "state", aState },
                 { "version", ToString(engines_.Version()) } });
  };
  for (const auto& [id, state] : states) {
    const auto known = engineStates_.find(id);
    if (known == engineStates_.end() || known->second != state) {
      logState(id, state);
    }
  }
  for (const auto& [id, state] : engineStates_) {
    if (!states.contains(id)) {
      logState(id, "gone");
    }
  }
  engineStates_ = std::move(states);
  engineList_ =
    std::make_shared<const EngineList>(engines, evacuations_.Zones());
  metrics_.SetView(ToString(StoreTable::Engines), engines_.Version().number_);
  listener_.onEngines_(engineList_);
}

auto ControlPlane::IsSettled(TimePoint aNow) const -> bool
{
  const auto metMajority = hostsRead_ && peers_.Size() * 2 > hostRows_.size();
  return metMajority || aNow - startedAt_ >= options_.settleTimeout_;
}

auto ControlPlane::PublishFleet() -> void
{
  const auto now = clock_.Now();
  FleetView view{ .self_ = options_.settings_.host_,
                  .zone_ = options_.settings_.zone_,
                  .settled_ = settled_,
                  .current_ = current_ };
  const auto add = [&](const PeerUpdate& aUpdate) {
    const auto& record = aUpdate.record_;
    view.hosts_.push_back(
      { .id_ = record.host_.value_,
        .zone_ = record.zone_.value_,
        .callerAddress_ = record.callerAddress_,
        .peerAddress_ = record.peerAddress_,
        .leaving_ = record.leaving_,
        .suspected_ = aUpdate.state_ == PeerState::Suspected,
        .power_ = record.power_ });
  };
  add({ .record_ = peers_.Self() });
  for (const auto& update : peers_.Peers(now)) {
    add(update);
  }
  UpdateOwners();
  if (view != published_) {
    published_ = view;
    listener_.onFleet_(std::make_shared<const FleetView>(std::move(view)));
  }
}

auto ControlPlane::Leave() -> void
{
  leaving_ = true;
  peers_.SetLeaving();
  PublishFleet();
  PushHeartbeats();
  asio::co_spawn(
    context_,
    [this]() -> Task<void> {
      const auto reply = co_await store_.Write(
        StoreTable::Hosts, options_.settings_.host_, std::nullopt);
      if (reply.end_ != StoreOutcome::Done) {
        Log::Write(LogLevel::Warning, "host_row_not_removed",
                   { { "reason", reply.detail_ } });
      }
    },
    LogFailure{ "remove_host_row" });
}

} // namespace goldcrestcroft

#include "ControlPlane.h"

#include "../Observability/Log.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

auto Name(StoreTable aTable) -> std::string
{
  switch (aTable) {
    case StoreTable::Configuration:
      return "configuration";
    case StoreTable::Engines:
      return "engines";
    case StoreTable::Hosts:
      break;
  }
  return "hosts";
}

} // namespace

ControlPlane::ControlPlane(asio::io_context& aContext, Options aOptions,
                           const PlatformCodec& aCodec, MetadataStore& aStore,
                           ControlListener aListener)
  : context_(aContext)
  , options_(std::move(aOptions))
  , codec_(aCodec)
  , store_(aStore)
  , listener_(std::move(aListener))
  , random_(Fingerprint(options_.settings_.host_, options_.incarnation_))
  , peers_({ .self_ = { .host_ = { options_.settings_.host_ },
                        .incarnation_ = options_.incarnation_,
                        .zone_ = { options_.settings_.zone_ },
                        .peerAddress_ = options_.settings_.PeerAddress() } },
           clock_.Now())
  , engines_({ .decode_ =
                 [this](const std::string& aId, const std::string& aText) {
                   return DecodeEngine(aId, aText);
                 } })
  , beats_(aContext)
  , lastBeat_(clock_.Now())
{
}

auto ControlPlane::DecodeEngine(const std::string& aId,
                                const std::string& aText) const
  -> Result<EngineEntry>
{
  return boost::leaf::try_handle_some(
    [&] { return codec_.DecodeEngine(aId, aText); },
    [&](const Error& aError) -> Result<EngineEntry> {
      // Once for each change of the entry.
      Log::Write(
        LogLevel::Warning, "engine_entry_unreadable",
        { { "reason", aError.message_ }, { "remedy", aError.remedy_ } });
      return Fail(aError);
    });
}

auto ControlPlane::Start() -> Result<void>
{
  const auto address = options_.settings_.PeerAddress();
  BOOST_LEAF_AUTO(acceptor, Listen(context_, address));
  acceptor_.emplace(std::move(acceptor));
  const auto endpoint = ParseTcpEndpoint(address);
  boost::system::error_code error;
  beats_.open(Udp::v4(), error);
  if (!error) {
    beats_.bind({ endpoint.address(), endpoint.port() }, error);
  }
  if (error) {
    return Fail({ .kind_ = ErrorKind::Unavailable,
                  .message_ = "datagrams to " + address +
                              " cannot be received: " + error.message(),
                  .remedy_ = "free the port, or change 'peer_port'" });
  }
  const auto spawn = [&](Task<void> aTask) {
    asio::co_spawn(context_, std::move(aTask), asio::detached);
  };
  spawn(AcceptPeers());
  spawn(ReceiveBeats());
  spawn(Beat());
  spawn(Follow(StoreTable::Configuration));
  spawn(Follow(StoreTable::Engines));
  spawn(Follow(StoreTable::Hosts));
  spawn(Announce());
  PublishFleet();
  return {};
}

auto ControlPlane::Pause(Duration aTime) -> Task<void>
{
  asio::steady_timer timer(context_, aTime);
  co_await timer.async_wait(kAsTuple);
}

auto ControlPlane::IsReader(StoreTable aTable) const -> bool
{
  if (published_.hosts_.size() <= options_.smallFleet_) {
    return true;
  }
  // The hosts of largest weight, alike on all hosts.
  const auto weight = [&](const std::string& aHost) {
    return RendezvousWeight(Name(aTable), aHost);
  };
  const auto own = weight(options_.settings_.host_);
  const auto ahead = std::count_if(
    published_.hosts_.begin(), published_.hosts_.end(), [&](const auto& aHost) {
      return !aHost.leaving_ && weight(aHost.id_) > own;
    });
  return static_cast<std::size_t>(ahead) < options_.readers_;
}

auto ControlPlane::Follow(StoreTable aTable) -> Task<void>
{
  constexpr auto kCheckRole = std::chrono::milliseconds{ 500 };
  Followed followed;
  auto pause = options_.leastPause_;
  for (;;) {
    if (followed.known_ && !IsReader(aTable)) {
      co_await Pause(kCheckRole);
      // What peers told is skipped when this host reads again.
      followed.version_ = aTable == StoreTable::Engines
                            ? std::max(followed.version_, engines_.Version())
                            : followed.version_;
      continue;
    }
    const auto whole = !followed.known_;
    StoreReply reply;
    if (whole) {
      reply = co_await store_.ReadAll(aTable);
    } else {
      reply =
        co_await store_.Follow(aTable, followed.version_, options_.followWait_);
    }
    OnStoreReply(aTable, followed, whole, reply);
    if (reply.end_ == StoreEnd::Done) {
      pause = options_.leastPause_;
    } else if (reply.end_ != StoreEnd::HistoryDropped) {
      co_await Pause(pause);
      pause = std::min(pause * 2, options_.mostPause_);
    }
  }
}

auto ControlPlane::OnStoreReply(StoreTable aTable, Followed& aFollowed,
                                bool aWhole, const StoreReply& aReply) -> void
{
  const auto now = clock_.Now();
  const auto answering =
    aReply.end_ == StoreEnd::Done || aReply.end_ == StoreEnd::HistoryDropped;
  if (answering != aFollowed.answering_) {
    aFollowed.answering_ = answering;
    Log::Write(answering ? LogLevel::Info : LogLevel::Warning,
               answering ? "store_regained" : "store_lost",
               { { "table", Name(aTable) }, { "reason", aReply.detail_ } });
  }
  if (!answering) {
    engines_.OnStoreTrouble(now);
    return;
  }
  if (aReply.end_ == StoreEnd::HistoryDropped) {
    Log::Write(LogLevel::Info, "store_history_dropped",
               { { "table", Name(aTable) },
                 { "version", std::to_string(aFollowed.version_) } });
    aFollowed.known_ = false;
    return;
  }
  aFollowed.known_ = true;
  aFollowed.version_ = std::max(aFollowed.version_, aReply.version_);
  auto news = false;
  switch (aTable) {
    case StoreTable::Configuration:
      for (const auto& row : aReply.rows_) {
        news |= AdoptConfiguration(row);
      }
      break;
    case StoreTable::Engines:
      news = aWhole ? engines_.ApplyAll(aReply.rows_, aReply.version_, now)
                    : engines_.Apply(aReply.rows_, now);
      if (news) {
        PublishEngines();
      }
      break;
    case StoreTable::Hosts:
      AdoptHosts(aReply.rows_);
      break;
  }
  if (news) {
    BeatToSome();
  }
}

auto ControlPlane::AdoptConfiguration(const StoreRow& aRow) -> bool
{
  if (aRow.key_ != "config" || aRow.removed_ ||
      aRow.version_ <= configuration_.version_) {
    return false;
  }
  return Handle(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(routing, codec_.DecodeRouting(aRow.value_));
      if (routing.Version() <= configurationVersion_) {
        return false;
      }
      configuration_ = aRow;
      configurationVersion_ = routing.Version();
      Log::Write(LogLevel::Info, "configuration_adopted",
                 { { "version", std::to_string(configurationVersion_) },
                   { "row", std::to_string(aRow.version_) } });
      listener_.onRouting_(
        std::make_shared<const RoutingTable>(std::move(routing)));
      peers_.SetCallerAddress(options_.settings_.callers_);
      PublishFleet();
      return true;
    },
    [&](const Error& aError) {
      Log::Write(
        LogLevel::Error, "configuration_unreadable",
        { { "reason", aError.message_ }, { "remedy", aError.remedy_ } });
      return false;
    });
}

auto ControlPlane::AdoptHosts(const std::vector<StoreRow>& aRows) -> void
{
  for (const auto& row : aRows) {
    if (row.key_ == options_.settings_.host_) {
      continue;
    }
    if (row.removed_) {
      hostRows_.erase(row.key_);
      continue;
    }
    const auto address = Handle(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(card, codec_.DecodeHost(row.key_, row.value_));
        return card.peerAddress_;
      },
      [&](const Error& aError) {
        Log::Write(LogLevel::Warning, "host_row_unreadable",
                   { { "reason", aError.message_ } });
        return std::string();
      });
    if (!address.empty()) {
      hostRows_[row.key_] = address;
    }
  }
}

auto ControlPlane::PublishEngines() -> void
{
  const auto engines = engines_.Engines();
  std::map<std::string, std::string> states;
  for (const auto& engine : engines) {
    states[engine.id_] = engine.draining_ ? "draining" : "ready";
  }
  const auto tell = [&](const std::string& aEngine, const std::string& aState) {
    Log::Write(LogLevel::Info, "engine_state",
               { { "engine", aEngine },
                 { "state", aState },
                 { "version", std::to_string(engines_.Version()) } });
  };
  for (const auto& [id, state] : states) {
    const auto known = engineStates_.find(id);
    if (known == engineStates_.end() || known->second != state) {
      tell(id, state);
    }
  }
  for (const auto& [id, state] : engineStates_) {
    if (!states.contains(id)) {
      tell(id, "gone");
    }
  }
  engineStates_ = std::move(states);
  listener_.onEngines_(std::make_shared<const EngineList>(engines));
}

auto ControlPlane::PublishFleet() -> void
{
  const auto now = clock_.Now();
  FleetView view{ .self_ = options_.settings_.host_,
                  .zone_ = options_.settings_.zone_ };
  const auto add = [&](const PeerRecord& aRecord) {
    view.hosts_.push_back({ .id_ = aRecord.host_.value_,
                            .zone_ = aRecord.zone_.value_,
                            .callerAddress_ = aRecord.callerAddress_,
                            .peerAddress_ = aRecord.peerAddress_,
                            .leaving_ = aRecord.leaving_ });
  };
  add(peers_.Self());
  for (const auto& record : peers_.Peers(now)) {
    const auto state = peers_.StateOf(record.host_, now);
    if (state == PeerState::Live || state == PeerState::Leaving) {
      add(record);
    }
  }
  if (view != published_) {
    published_ = view;
    listener_.onFleet_(std::make_shared<const FleetView>(std::move(view)));
  }
}

auto ControlPlane::Announce() -> Task<void>
{
  const auto& settings = options_.settings_;
  const auto card =
    codec_.EncodeHost({ .host_ = settings.host_,
                        .zone_ = settings.zone_,
                        .callerAddress_ = settings.callers_,
                        .peerAddress_ = settings.PeerAddress(),
                        .incarnation_ = options_.incarnation_ });
  auto pause = options_.leastPause_;
  while (!leaving_) {
    const auto reply =
      co_await store_.Write(StoreTable::Hosts, settings.host_, card);
    if (reply.end_ == StoreEnd::Done) {
      co_return;
    }
    Log::Write(LogLevel::Warning, "host_row_not_written",
               { { "reason", reply.detail_ } });
    co_await Pause(pause);
    pause = std::min(pause * 2, options_.mostPause_);
  }
}

auto ControlPlane::Leave() -> void
{
  leaving_ = true;
  peers_.SetLeaving();
  PublishFleet();
  BeatTo(PeerAddresses());
  asio::co_spawn(
    context_,
    [this]() -> Task<void> {
      const auto reply = co_await store_.Write(
        StoreTable::Hosts, options_.settings_.host_, std::nullopt);
      if (reply.end_ != StoreEnd::Done) {
        Log::Write(LogLevel::Warning, "host_row_not_removed",
                   { { "reason", reply.detail_ } });
      }
    },
    asio::detached);
}

} // namespace goldcrestcroft

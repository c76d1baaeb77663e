#include "ControlLoop.h"

#include "../../Observability/Log.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

constexpr Duration kTick = std::chrono::milliseconds{ 20 };
// Shorter than the gap that ConfigFollower treats as a process pause.
constexpr Duration kMaxViewAge = std::chrono::milliseconds{ 1500 };
constexpr Duration kPublishPeriod = std::chrono::milliseconds{ 100 };
constexpr Duration kExportPeriod = std::chrono::milliseconds{ 500 };
constexpr Duration kProbeTimeout = std::chrono::milliseconds{ 300 };
constexpr std::size_t kMaxSpans = 8192;

} // namespace

ControlLoop::ControlLoop(Options aOptions, PeerSocket aSocket,
                         Metrics& aMetrics,
                         std::function<void(TrafficMessage)> aToTraffic)
  : options_(std::move(aOptions))
  , random_(options_.seed_)
  , metrics_(aMetrics)
  , toTraffic_(std::move(aToTraffic))
  , http_({})
  , table_({ .address_ = options_.settings_.platform_.table_,
             .timeout_ = options_.settings_.platform_.timeout_,
             .memory_ = options_.memory_ },
           http_, metrics_)
  , socket_(std::move(aSocket))
  , codec_(options_.settings_.peers_.sharedKey_)
  , peers_({ .self_ = { .host_ = options_.settings_.host_,
                        .incarnation_ = options_.incarnation_,
                        .zone_ = options_.settings_.zone_,
                        .callerAddress_ =
                          options_.settings_.callers_.listen_.ToString(),
                        .peerAddress_ =
                          options_.settings_.peers_.listen_.ToString() },
             .suspectAfter_ = options_.settings_.peers_.suspectAfter_,
             .goneAfter_ = options_.settings_.peers_.goneAfter_ },
           clock_.Now())
  , servers_({})
  , config_(options_.settings_.platform_, options_.settings_.host_,
            options_.incarnation_, http_, table_,
            { .findPeer_ =
                [this](VersionNumber aNumber) { return FindPeer(aNumber); },
              .requestPatches_ =
                [this](VersionNumber aAfter) { RequestPatches(aAfter); },
              .onAccepted_ =
                [this](const ConfigPatch& aPatch) {
                  for (const auto& peer : peers_.Peers(clock_.Now())) {
                    SendToPeer(peer, PatchReply{ { aPatch } });
                  }
                } },
            clock_.Now())
  , mail_([this] { http_.Wake(); })
{
}

auto ControlLoop::Run() -> void
{
  while (!stopped_) {
    Iterate();
  }
}

auto ControlLoop::IsFresh() const -> bool
{
  return clock_.Now() - published_.load() < kMaxViewAge;
}

auto ControlLoop::Stop() -> void
{
  stopped_ = true;
  http_.Wake();
}

auto ControlLoop::StartDraining() -> void
{
  drainRequested_ = true;
  http_.Wake();
}

auto ControlLoop::Iterate() -> void
{
  http_.Poll(kTick,
             { { .descriptor_ = socket_.Descriptor(), .forReading_ = true } });
  const auto now = clock_.Now();
  // Detects a process pause before what arrived during it is handled.
  config_.Tick(now);
  for (const auto& host : peers_.Tick(now)) {
    Log::Write(LogLevel::Warning, "entry host gone",
               { { "peer", host.value_ } });
    toTraffic_(PeerLost{ host });
  }
  ReceiveDatagrams(now);
  for (auto& mail : mail_.TakeAll()) {
    ProcessMessage(std::move(mail));
  }
  if (drainRequested_ && drainingSince_ == TimePoint{}) {
    drainingSince_ = now;
    peers_.SetLeaving();
    heartbeatDue_ = true;
    nextPublish_ = now;
  }
  if (heartbeatDue_ || now >= nextHeartbeat_) {
    SendHeartbeats(now);
  }
  PollMembers(now);
  ProbeServers(now);
  ExportSpans(now);
  Publish(now);
  // Set last: after a process pause, an older view must not count as fresh.
  published_ = now;
}

auto ControlLoop::ProcessMessage(ControlMessage aMail) -> void
{
  const auto now = clock_.Now();
  if (auto* load = std::get_if<LoadExported>(&aMail)) {
    load_ = std::move(load->load_);
  } else if (const auto* seen = std::get_if<ServerObserved>(&aMail)) {
    OnServerObserved(*seen, now);
  } else if (const auto* poison =
               std::get_if<QuarantineUpdatesIssued>(&aMail)) {
    for (const auto& update : poison->updates_) {
      quarantineUpdates_.Add(update);
    }
    heartbeatDue_ = true;
  } else if (auto* reserved = std::get_if<ServersReserved>(&aMail)) {
    reserved_ = std::move(reserved->servers_);
    heartbeatDue_ = true;
  } else if (auto* patch = std::get_if<PatchSubmitted>(&aMail)) {
    config_.OnSubmitted(std::move(*patch));
  } else if (auto* asked = std::get_if<HistoryRequested>(&aMail)) {
    config_.OnHistoryRequested(std::move(*asked));
  } else if (auto* ended = std::get_if<SpansEnded>(&aMail)) {
    const auto capacity = kMaxSpans - std::min(kMaxSpans, spans_.size());
    const auto taken = std::min(capacity, ended->spans_.size());
    std::move(ended->spans_.begin(),
              ended->spans_.begin() + static_cast<long>(taken),
              std::back_inserter(spans_));
    metrics_.CountDroppedSpans(ended->spans_.size() - taken);
  }
}

auto ControlLoop::OnServerObserved(const ServerObserved& aSeen, TimePoint aNow)
  -> void
{
  switch (aSeen.what_) {
    case ServerObserved::What::Leaving:
      heartbeatDue_ = heartbeatDue_ || !servers_.IsLeaving(aSeen.server_, aNow);
      servers_.OnLeaving(aSeen.server_, ServerDirectory::Source::Server, aNow);
      break;
    case ServerObserved::What::Down:
      servers_.OnDown(aSeen.server_, aNow);
      break;
    case ServerObserved::What::Up:
      servers_.OnUp(aSeen.server_);
      break;
  }
  nextPublish_ = aNow;
}

auto ControlLoop::PollMembers(TimePoint aNow) -> void
{
  const auto& platform = options_.settings_.platform_;
  if (platform.members_.empty() || membersPending_ || aNow < nextMembers_) {
    return;
  }
  membersPending_ = true;
  nextMembers_ = aNow + platform.membersPeriod_;
  http_.Send({ .method_ = "GET",
               .url_ = "http://" + platform.members_ + "/v1/members",
               .timeout_ = platform.timeout_ },
             { .onEnd_ = [this](const HttpResponse& aReply) {
               constexpr long kOk = 200;
               membersPending_ = false;
               if (aReply.end_ != HttpOutcome::Answered ||
                   aReply.status_ != kOk) {
                 return;
               }
               Handle(
                 [&]() -> Result<void> {
                   BOOST_LEAF_AUTO(members, DecodeMemberList(aReply.body_));
                   servers_.OnList(members, clock_.Now());
                   return {};
                 },
                 [](const Error& aError) {
                   Log::Write(LogLevel::Warning, "membership list unreadable",
                              { { "reason", aError.message_ } });
                 });
             } });
}

auto ControlLoop::ProbeServers(TimePoint aNow) -> void
{
  for (const auto& id : servers_.TakeProbes(aNow)) {
    const auto* server = config_.InForce()->Content().FindServer(id);
    if (server == nullptr) {
      servers_.OnUp(id);
      continue;
    }
    http_.Send({ .method_ = "GET",
                 .url_ = "http://" + server->address_ + "/healthz",
                 .timeout_ = kProbeTimeout,
                 .connectTimeout_ = kProbeTimeout,
                 .fresh_ = true },
               { .onEnd_ = [this, id](const HttpResponse& aReply) {
                 if (aReply.end_ == HttpOutcome::Answered) {
                   servers_.OnUp(id);
                   nextPublish_ = clock_.Now();
                 }
               } });
  }
}

auto ControlLoop::ExportSpans(TimePoint aNow) -> void
{
  if (spans_.empty() || aNow < nextExport_) {
    return;
  }
  nextExport_ = aNow + kExportPeriod;
  const auto spans = std::exchange(spans_, {});
  const auto count = spans.size();
  http_.Send({ .url_ = "http://" + options_.settings_.collector_ + "/v1/traces",
               .body_ = EncodeSpans(spans, options_.settings_.host_),
               .timeout_ = std::chrono::seconds{ 2 } },
             { .onEnd_ = [this, count](const HttpResponse& aReply) {
               if (aReply.end_ != HttpOutcome::Answered) {
                 metrics_.CountDroppedSpans(count);
               }
             } });
}

auto ControlLoop::BuildView(TimePoint aNow) const -> ControlView
{
  const auto& settings = options_.settings_;
  ControlView view{ .config_ = config_.InForce(),
                    .confirmed_ = config_.Confirmed(),
                    .leaving_ = drainingSince_ != TimePoint{} };
  view.forgotten_ = view.leaving_ && aNow - drainingSince_ >=
                                       settings.callers_.hostListLifetime_ +
                                         2 * settings.peers_.heartbeat_;
  for (const auto& pool : view.config_->Content().Pools()) {
    for (const auto& server : pool.servers_) {
      if (!servers_.MayServe(server.id_, aNow)) {
        view.closed_.insert(server.id_);
      }
    }
  }
  for (const auto& [host, reservation] : peersReserved_) {
    if (aNow < reservation.until_) {
      view.closed_.insert(reservation.servers_.begin(),
                          reservation.servers_.end());
    }
  }
  const auto& self = peers_.Self();
  view.peers_.push_back(
    { .host_ = self.host_, .incarnation_ = self.incarnation_ });
  if (!view.leaving_) {
    view.hosts_.push_back({ .host_ = self.host_,
                            .address_ = self.callerAddress_,
                            .zone_ = self.zone_ });
  }
  for (const auto& peer : peers_.All()) {
    const auto state = peers_.StateOf(peer.host_, aNow);
    view.peers_.push_back({ .host_ = peer.host_,
                            .incarnation_ = peer.incarnation_,
                            .gone_ = state == PeerState::Gone });
    if (state == PeerState::Live) {
      view.hosts_.push_back({ .host_ = peer.host_,
                              .address_ = peer.callerAddress_,
                              .zone_ = peer.zone_ });
    }
  }
  return view;
}

auto ControlLoop::Publish(TimePoint aNow) -> void
{
  const auto current = view_.load();
  const auto configChanged = config_.InForce() != current->config_ ||
                             config_.Confirmed() != current->confirmed_;
  if (aNow < nextPublish_ && !configChanged) {
    return;
  }
  nextPublish_ = aNow + kPublishPeriod;
  auto view = BuildView(aNow);
  metrics_.SetConfigVersion(view.config_->Number());
  metrics_.SetPeers(view.hosts_.size());
  if (view != *current) {
    view_.store(std::make_shared<const ControlView>(std::move(view)));
  }
}

} // namespace goldcrestcroft

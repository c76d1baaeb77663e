#include "../../Observability/Log.h"
#include "ControlLoop.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

constexpr std::size_t kFanout = 12;
constexpr std::size_t kDigestRecords = 8;
constexpr std::size_t kMaxQuarantineUpdates = 16;
constexpr std::size_t kMaxLoadItems = 64;
constexpr std::size_t kMaxDrainingServers = 64;
constexpr int kReservationHeartbeats = 4;
constexpr int kDatagramsPerTick = 512;

} // namespace

auto ControlLoop::ReceiveDatagrams(TimePoint aNow) -> void
{
  for (auto i = 0; i < kDatagramsPerTick; ++i) {
    const auto received = socket_.Receive();
    if (!received) {
      return;
    }
    metrics_.CountDatagram("in", received->datagram_.size());
    Handle(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(message, codec_.Open(received->datagram_));
        OnMessage(message, received->from_, aNow);
        return {};
      },
      [&](const Error& aError) {
        metrics_.CountDatagram("rejected", received->datagram_.size());
        Log::Write(LogLevel::Debug, "datagram rejected",
                   { { "from", received->from_.ToString() },
                     { "reason", aError.message_ } });
      });
  }
}

auto ControlLoop::OnMessage(const Message& aMessage, const Endpoint& aFrom,
                            TimePoint aNow) -> void
{
  if (const auto* heartbeat = std::get_if<Heartbeat>(&aMessage)) {
    OnHeartbeat(*heartbeat, aNow);
  } else if (const auto* request = std::get_if<PatchRequest>(&aMessage)) {
    auto patches = config_.PatchesAfter(request->after_);
    if (!patches.empty()) {
      SendTo(aFrom, PatchReply{ std::move(patches) });
    }
  } else if (const auto* reply = std::get_if<PatchReply>(&aMessage)) {
    config_.OnPatches(reply->patches_, aNow);
    nextPublish_ = aNow;
  }
}

auto ControlLoop::OnHeartbeat(const Heartbeat& aHeartbeat, TimePoint aNow)
  -> void
{
  for (const auto& record : aHeartbeat.relayedRecords_) {
    peers_.OnRecord(record, aNow);
  }
  const auto& sender = aHeartbeat.sender_.host_;
  if (!peers_.OnRecord(aHeartbeat.sender_, aNow)) {
    return; // late or duplicate: a newer heartbeat was received
  }
  peerVersions_[sender] = aHeartbeat.newestVersion_;
  config_.OnVersionAdvertised(aHeartbeat.newestVersion_, aNow);
  toTraffic_(
    PeerLoadReceived{ Expand(aHeartbeat.load_, sender, *config_.InForce()) });
  for (const auto& server : aHeartbeat.leavingServers_) {
    servers_.OnLeaving(server, ServerDirectory::Source::Peer, aNow);
  }
  auto& reserved = peersReserved_[sender];
  if (reserved.servers_ != aHeartbeat.reservedServers_) {
    nextPublish_ = aNow;
  }
  reserved = { .servers_ = aHeartbeat.reservedServers_,
               .until_ = aNow + kReservationHeartbeats *
                                  options_.settings_.peers_.heartbeat_ };
  if (!aHeartbeat.quarantineUpdates_.empty()) {
    toTraffic_(QuarantineUpdatesReceived{ aHeartbeat.quarantineUpdates_ });
  }
}

auto ControlLoop::BuildHeartbeat(TimePoint aNow) -> Heartbeat
{
  Heartbeat heartbeat{ .sender_ = peers_.Beat(),
                       .newestVersion_ = config_.InForce()->Number(),
                       .load_ =
                         Compact(load_, *config_.InForce(), kMaxLoadItems),
                       .leavingServers_ = servers_.LeavingFirstHand(aNow),
                       .reservedServers_ = reserved_ };
  if (peers_.Peers(aNow).size() > kFanout) {
    heartbeat.relayedRecords_ = peers_.TakeDigest(kDigestRecords, aNow);
  }
  if (heartbeat.leavingServers_.size() > kMaxDrainingServers) {
    heartbeat.leavingServers_.resize(kMaxDrainingServers);
  }
  heartbeat.quarantineUpdates_ = quarantineUpdates_.Take(kMaxQuarantineUpdates);
  return heartbeat;
}

auto ControlLoop::ChoosePeers(TimePoint aNow) -> std::vector<PeerRecord>
{
  auto peers = peers_.Peers(aNow);
  if (peers.size() > kFanout) {
    std::shuffle(peers.begin(), peers.end(), random_);
    peers.resize(kFanout);
  }
  return peers;
}

auto ControlLoop::SendHeartbeats(TimePoint aNow) -> void
{
  // Updates that have never been sent go to all peers.
  const auto urgent = quarantineUpdates_.HasUnsent();
  const Message message = BuildHeartbeat(aNow);
  const auto peers = urgent ? peers_.Peers(aNow) : ChoosePeers(aNow);
  std::vector<std::string> addresses;
  for (const auto& peer : peers) {
    SendToPeer(peer, message);
    addresses.push_back(peer.peerAddress_);
  }
  for (const auto& seed : options_.settings_.peers_.seeds_) {
    const auto known = std::find(addresses.begin(), addresses.end(),
                                 seed.ToString()) != addresses.end();
    if (!known && seed != options_.settings_.peers_.listen_) {
      SendTo(seed, message);
    }
  }
  heartbeatDue_ = quarantineUpdates_.HasUnsent();
  // Jitter prevents hosts that started together from sending in step.
  const auto period = options_.settings_.peers_.heartbeat_;
  const auto jitter = static_cast<Duration::rep>(
    0.2 * UniformUnit(random_) * static_cast<double>(period.count()));
  nextHeartbeat_ = aNow + period - Duration(jitter);
}

auto ControlLoop::SendToPeer(const PeerRecord& aPeer, const Message& aMessage)
  -> void
{
  Handle(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(endpoint, ParseEndpoint(aPeer.peerAddress_));
      SendTo(endpoint, aMessage);
      return {};
    },
    [](const Error&) {});
}

auto ControlLoop::SendTo(const Endpoint& aTo, const Message& aMessage) -> void
{
  Handle(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(datagram, codec_.Seal(aMessage));
      metrics_.CountDatagram("out", datagram.size());
      socket_.Send(aTo, datagram);
      return {};
    },
    [](const Error& aError) {
      Log::Write(LogLevel::Warning, "message not sent",
                 { { "reason", aError.message_ } });
    });
}

auto ControlLoop::RequestPatches(VersionNumber aAfter) -> void
{
  std::vector<PeerRecord> candidates;
  for (const auto& peer : peers_.Peers(clock_.Now())) {
    if (peerVersions_[peer.host_] > aAfter) {
      candidates.push_back(peer);
    }
  }
  if (!candidates.empty()) {
    SendToPeer(candidates[UniformBelow(random_, candidates.size())],
               PatchRequest{ aAfter });
  }
}

auto ControlLoop::FindPeer(VersionNumber aNumber) -> std::string
{
  std::vector<std::string> candidates;
  for (const auto& peer : peers_.Peers(clock_.Now())) {
    if (peerVersions_[peer.host_] >= aNumber) {
      candidates.push_back(peer.callerAddress_);
    }
  }
  return candidates.empty()
           ? ""
           : candidates[UniformBelow(random_, candidates.size())];
}

} // namespace goldcrestcroft

#include "../../Observability/Log.h"
#include "ControlLoop.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

constexpr std::size_t kFanOut = 12;
constexpr std::size_t kDigestRecords = 8;
constexpr std::size_t kPoisonPerHeartbeat = 16;
constexpr std::size_t kLoadItems = 64;
constexpr std::size_t kLeavingItems = 64;
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
  for (const auto& record : aHeartbeat.passedOn_) {
    peers_.OnRecord(record, aNow);
  }
  const auto& sender = aHeartbeat.sender_.host_;
  if (!peers_.OnRecord(aHeartbeat.sender_, aNow)) {
    return; // late or doubled; a newer one has been heard
  }
  peerVersions_[sender] = aHeartbeat.newestVersion_;
  config_.OnNumberHeard(aHeartbeat.newestVersion_, aNow);
  toTraffic_(
    PeerLoadHeard{ Expand(aHeartbeat.load_, sender, *config_.InForce()) });
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
  if (!aHeartbeat.poison_.empty()) {
    toTraffic_(PoisonHeard{ aHeartbeat.poison_ });
  }
}

auto ControlLoop::BuildHeartbeat(TimePoint aNow) -> Heartbeat
{
  Heartbeat heartbeat{ .sender_ = peers_.Beat(),
                       .newestVersion_ = config_.InForce()->Number(),
                       .load_ = Compact(load_, *config_.InForce(), kLoadItems),
                       .leavingServers_ = servers_.LeavingFirstHand(aNow),
                       .reservedServers_ = reserved_ };
  if (peers_.Peers(aNow).size() > kFanOut) {
    heartbeat.passedOn_ = peers_.TakeDigest(kDigestRecords, aNow);
  }
  if (heartbeat.leavingServers_.size() > kLeavingItems) {
    heartbeat.leavingServers_.resize(kLeavingItems);
  }
  heartbeat.poison_ = poison_.Take(kPoisonPerHeartbeat);
  return heartbeat;
}

auto ControlLoop::ChoosePeers(TimePoint aNow) -> std::vector<PeerRecord>
{
  auto peers = peers_.Peers(aNow);
  if (peers.size() > kFanOut) {
    std::shuffle(peers.begin(), peers.end(), random_);
    peers.resize(kFanOut);
  }
  return peers;
}

auto ControlLoop::SendHeartbeats(TimePoint aNow) -> void
{
  // What was never said before goes to everybody.
  const auto urgent = poison_.HasFresh();
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
  heartbeatDue_ = poison_.HasFresh();
  // The jitter keeps hosts that started together from beating together.
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

auto ControlLoop::AskPeer(VersionNumber aAfter) -> void
{
  std::vector<PeerRecord> able;
  for (const auto& peer : peers_.Peers(clock_.Now())) {
    if (peerVersions_[peer.host_] > aAfter) {
      able.push_back(peer);
    }
  }
  if (!able.empty()) {
    SendToPeer(able[UniformBelow(random_, able.size())],
               PatchRequest{ aAfter });
  }
}

auto ControlLoop::PickPeer(VersionNumber aNumber) -> std::string
{
  std::vector<std::string> able;
  for (const auto& peer : peers_.Peers(clock_.Now())) {
    if (peerVersions_[peer.host_] >= aNumber) {
      able.push_back(peer.callerAddress_);
    }
  }
  return able.empty() ? "" : able[UniformBelow(random_, able.size())];
}

} // namespace goldcrestcroft

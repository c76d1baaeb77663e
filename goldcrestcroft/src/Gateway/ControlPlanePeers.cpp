#include "../Observability/Log.h"
#include "ControlPlane.h"
#include "PackedText.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

constexpr auto kFetchTimeout = std::chrono::milliseconds{ 800 };
constexpr std::size_t kMaxBeatBytes = 60'000;
/** Of 21 bytes each, so that a datagram with news of hosts still fits one
 * packet of 1,500 bytes. */
constexpr std::size_t kSuspectsPerDatagram = 8;

auto ToText(const std::optional<PeerState>& aState) -> std::string
{
  if (!aState) {
    return "unknown";
  }
  switch (*aState) {
    case PeerState::Suspected:
      return "suspected";
    case PeerState::Gone:
      return "gone";
    default:
      return "live";
  }
}

} // namespace

auto ControlPlane::UpdateAddresses() -> void
{
  std::set<std::string> addresses;
  for (const auto& [host, address] : hostRows_) {
    addresses.insert(address);
  }
  const auto port = std::to_string(options_.settings_.peerPort_);
  for (const auto& seed : options_.settings_.seeds_) {
    addresses.insert(seed.substr(0, seed.find(':')) + ":" + port);
  }
  addresses.erase(options_.settings_.PeerAddress());
  addresses_ = { addresses.begin(), addresses.end() };
}

auto ControlPlane::Send(std::vector<FailureDetector::Outgoing> aOut,
                        const std::vector<LostRun>& aLostRuns,
                        const std::vector<SuspectNotice>& aFirst) -> void
{
  const auto now = clock_.Now();
  FleetHeartbeat beat{ .configurationRow_ = configuration_.version_,
                       .engineRows_ = engines_.Version() };
  for (const auto& run : aLostRuns) {
    beat.lostRuns_.push_back(ToReport(run, now));
  }
  if (!aOut.empty()) {
    beat.leavingEngines_ = leavingEngines_.Told(now);
  }
  for (auto& [address, message] : aOut) {
    beat.probe_ = std::move(message);
    beat.suspects_ = aFirst;
    for (const auto& notice : suspects_.Tell(kSuspectsPerDatagram, now)) {
      beat.suspects_.push_back(notice);
    }
    const auto bytes = EncodeHeartbeat(beat);
    const auto endpoint = ParseTcpEndpoint(address);
    boost::system::error_code ignored; // A lost datagram is made up for.
    beats_.send_to(asio::buffer(bytes),
                   Udp::endpoint(endpoint.address(), endpoint.port()), 0,
                   ignored);
  }
}

auto ControlPlane::BeatToSome() -> void
{
  Send(peers_.Push());
}

auto ControlPlane::LogFleetChanges() -> bool
{
  const auto changes = peers_.TakeChanges();
  std::size_t found = 0;
  const auto isNoted = [](const std::optional<PeerState>& aState) {
    return aState && *aState != PeerState::Live;
  };
  for (const auto& change : changes) {
    const auto isSelf = change.host_ == peers_.Self().host_;
    if (!isNoted(change.from_) && !isNoted(change.to_)) {
      found += change.from_ ? 0 : 1;
      continue;
    }
    Log::Write(LogLevel::Info, isSelf ? "suspicion_refuted" : "peer_state",
               { { "peer", change.host_.value_ },
                 { "from", ToText(change.from_) },
                 { "to", ToText(change.to_) },
                 { "reason", change.reason_ },
                 { "hosts", std::to_string(peers_.Size()) } });
  }
  if (found > 0) {
    // In one line: whole fleets start at the same moment.
    Log::Write(LogLevel::Info, "peers_found",
               { { "count", std::to_string(found) },
                 { "hosts", std::to_string(peers_.Size()) } });
  }
  return !changes.empty();
}

auto ControlPlane::Beat() -> Task<void>
{
  for (;;) {
    const auto now = clock_.Now();
    if (now - lastBeat_ > options_.doubtfulPause_) {
      Log::Write(
        LogLevel::Warning, "woken",
        { { "pause_ms", std::to_string(ToMilliseconds(now - lastBeat_)) } });
    }
    lastBeat_ = now;
    leavingEngines_.Expire(now);
    if (engines_.Tick(now)) {
      PublishEngines();
    }
    Send(peers_.Tick(addresses_, now));
    TendSuspects();
    const auto alone = peers_.IsAlone(now);
    const auto changed = LogFleetChanges();
    const auto settles = !settled_ && IsSettled(now);
    settled_ |= settles;
    if (settles) {
      Log::Write(LogLevel::Info, "fleet_settled",
                 { { "hosts", std::to_string(peers_.Size()) },
                   { "named", std::to_string(hostRows_.size()) } });
    }
    if (changed || alone != alone_ || settles) {
      alone_ = alone;
      PublishFleet();
    }
    if (settles) {
      // Only now the fleet is published, by which readers are chosen.
      asio::co_spawn(context_, RestoreHeldRequests(), asio::detached);
    }
    co_await Pause(options_.tick_);
  }
}

auto ControlPlane::ReceiveBeats() -> Task<void>
{
  std::vector<char> buffer(kMaxBeatBytes);
  for (;;) {
    Udp::endpoint from;
    const auto [error, size] =
      co_await beats_.async_receive_from(asio::buffer(buffer), from, kAsTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      continue; // Refusals of earlier sends are reported here.
    }
    const std::string_view bytes(buffer.data(), size);
    Handle(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(beat, DecodeHeartbeat(bytes));
        OnBeat(beat);
        return {};
      },
      [&](const Error& aError) {
        Log::Write(LogLevel::Warning, "beat_unreadable",
                   { { "reason", aError.message_ } });
      });
  }
}

auto ControlPlane::OnBeat(const FleetHeartbeat& aBeat) -> void
{
  const auto now = clock_.Now();
  Send(peers_.OnMessage(aBeat.probe_, now));
  for (const auto& report : aBeat.lostRuns_) {
    CountLost(FromReport(report, now));
  }
  for (const auto& notice : aBeat.suspects_) {
    LearnSuspect(notice);
  }
  for (const auto& engine : aBeat.leavingEngines_) {
    if (leavingEngines_.Add(engine, now)) {
      listener_.onLeaving_(engine);
    }
  }
  const auto behind = aBeat.configurationRow_ > configuration_.version_ ||
                      aBeat.engineRows_ > engines_.Version();
  const auto fewHosts = peers_.IsFarBehind(aBeat.probe_);
  if (behind || fewHosts) {
    FetchFrom(aBeat.probe_.sender_.peerAddress_, fewHosts);
  }
}

auto ControlPlane::SpreadLeaving(const LeavingEngine& aEngine) -> void
{
  if (leavingEngines_.Add(aEngine, clock_.Now())) {
    BeatToSome();
  }
}

auto ControlPlane::MakeLink(Tcp::socket aSocket) -> std::shared_ptr<PeerLink>
{
  return std::make_shared<PeerLink>(
    std::move(aSocket),
    PeerLink::Options{ .onFrame_ = [this](const auto& aLink, auto aFrame) {
      OnFrame(aLink, aFrame);
    } });
}

auto ControlPlane::AcceptPeers() -> Task<void>
{
  for (;;) {
    auto [error, socket] = co_await acceptor_->async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      co_await Pause(options_.leastPause_);
      continue;
    }
    MakeLink(std::move(socket))->Start();
  }
}

auto ControlPlane::FetchFrom(const std::string& aAddress, bool aWholeFleet)
  -> void
{
  const auto now = clock_.Now();
  if (fetch_ && fetch_->IsOpen() && now - fetchStartedAt_ < kFetchTimeout) {
    return;
  }
  if (fetch_) {
    fetch_->Close();
  }
  fetchStartedAt_ = now;
  fetch_ = MakeLink(Tcp::socket(context_));
  fetch_->StartTo(aAddress);
  fetch_->Send(StateRequest{ .configurationRow_ = configuration_.version_,
                             .engineRows_ = engines_.Version(),
                             .wholeFleet_ = aWholeFleet });
}

auto ControlPlane::AdoptPacked(const StoreRow& aRow) -> bool
{
  return Handle(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(value, Unpack(aRow.value_, kMaxFrameBytes));
      auto row = aRow;
      row.value_ = std::move(value);
      return AdoptConfiguration(row, aRow.value_);
    },
    [&](const Error& aError) {
      Log::Write(LogLevel::Warning, "configuration_of_peer_unreadable",
                 { { "reason", aError.message_ } });
      return false;
    });
}

auto ControlPlane::OnFrame(const std::shared_ptr<PeerLink>& aLink,
                           const PeerFrame& aFrame) -> void
{
  if (const auto* request = std::get_if<StateRequest>(&aFrame)) {
    StateReply reply{ .engines_ = engines_.RowsAfter(request->engineRows_) };
    if (configuration_.version_ > request->configurationRow_) {
      reply.configuration_.push_back(configuration_);
    }
    if (request->wholeFleet_) {
      reply.hosts_ = peers_.WholeList();
      reply.hosts_.push_back({ .record_ = peers_.Self() });
    }
    aLink->Send(reply);
    return;
  }
  const auto* reply = std::get_if<StateReply>(&aFrame);
  if (reply == nullptr || aLink != fetch_) {
    Log::Write(LogLevel::Warning, "peer_frame_unexpected");
    return;
  }
  peers_.Learn(reply->hosts_, clock_.Now());
  auto news = false;
  for (const auto& row : reply->configuration_) {
    news |= AdoptPacked(row);
  }
  if (engines_.Apply(reply->engines_, clock_.Now())) {
    news = true;
    PublishEngines();
  }
  fetch_->Close();
  fetch_.reset();
  if (news) {
    Log::Write(LogLevel::Info, "state_from_peer",
               { { "engine_rows", std::to_string(engines_.Version()) } });
    BeatToSome();
  }
}

} // namespace goldcrestcroft

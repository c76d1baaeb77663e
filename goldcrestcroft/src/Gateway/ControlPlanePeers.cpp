#include "../Observability/Log.h"
#include "BackgroundTask.h"
#include "ControlPlane.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** Rate limits that a host receives when it starts; the others follow on
 * datagrams. */
constexpr std::size_t kMaxInitialLimits = 1024;

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
    // Logged as one line, since whole fleets start at the same moment.
    Log::Write(LogLevel::Info, "peers_found",
               { { "count", std::to_string(found) },
                 { "hosts", std::to_string(peers_.Size()) } });
  }
  return !changes.empty();
}

auto ControlPlane::HeartbeatLoop() -> Task<void>
{
  for (;;) {
    const auto now = clock_.Now();
    if (now - lastTick_ > options_.maxProcessPause_) {
      Log::Write(
        LogLevel::Warning, "woken",
        { { "pause_ms", std::to_string(ToMilliseconds(now - lastTick_)) } });
      issuer_.OnProcessPaused(now);
    }
    lastTick_ = now;
    leavingEngines_.Expire(now);
    unreadableEngines_.Summarize(now);
    unreadableHosts_.Summarize(now);
    if (engines_.Tick(now)) {
      PublishEngines();
    }
    if (evacuations_.Tick(now)) {
      PublishEvacuations("restored store");
    }
    Send(peers_.Tick(addresses_, now));
    MaintainSuspects();
    MaintainLimits();
    MaintainViews();
    MaintainFetches();
    MaintainReadiness();
    const auto isolated = peers_.IsIsolated(now);
    const auto changed = LogFleetChanges();
    const auto settles = !settled_ && IsSettled(now);
    settled_ |= settles;
    if (settles) {
      Log::Write(LogLevel::Info, "fleet_settled",
                 { { "hosts", std::to_string(peers_.Size()) },
                   { "named", std::to_string(hostRows_.size()) } });
    }
    if (changed || isolated != isolated_ || settles) {
      isolated_ = isolated;
      PublishFleet();
    }
    if (settles) {
      // Only now is the fleet published, by which readers are chosen.
      asio::co_spawn(context_, RestoreHeldRequests(),
                     LogFailure{ "restore_held_requests" });
    }
    co_await Pause(options_.tick_);
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
      co_await Pause(options_.minRetryDelay_);
      continue;
    }
    MakeLink(std::move(socket))->Start();
  }
}

auto ControlPlane::OnFrame(const std::shared_ptr<PeerLink>& aLink,
                           const PeerFrame& aFrame) -> void
{
  if (const auto* request = std::get_if<StateRequest>(&aFrame)) {
    StateReply reply{ .engines_ = engines_.RowsAfter(request->engineRows_),
                      .configurationRow_ = configuration_.Row().version_,
                      .engineRows_ = engines_.Version(),
                      .wholeEngines_ =
                        request->engineRows_.era_ < engines_.Version().era_,
                      .configurationAge_ = AgeOf(StoreTable::Configuration),
                      .engineAge_ = AgeOf(StoreTable::Engines),
                      .evacuations_ = evacuations_.Evacuations(),
                      .evacuationVersion_ = evacuations_.Version() };
    if (configuration_.IsNewerThan(request->configurationRow_,
                                   request->configurationVersion_)) {
      reply.configuration_.push_back(configuration_.Row());
    }
    if (request->wholeFleet_) {
      reply.hosts_ = peers_.WholeList();
      reply.hosts_.push_back({ .record_ = peers_.Self() });
      for (const auto& limit : limits_.InForce(kMaxInitialLimits)) {
        reply.limits_.push_back(ToReport(limit, clock_.Now()));
      }
    }
    aLink->Send(reply);
    return;
  }
  if (const auto* reply = std::get_if<StateReply>(&aFrame)) {
    OnStateReply(aLink, *reply);
  } else {
    Log::Write(LogLevel::Warning, "peer_frame_unexpected");
  }
}

} // namespace goldcrestcroft

#include "../Observability/Log.h"
#include "ControlPlane.h"

namespace goldcrestcroft {

namespace {

constexpr std::size_t kMaxHeartbeatBytes = 60'000;
/** Notices have 25 bytes each, so that a datagram with updates about hosts
 * still fits one packet of 1,500 bytes. */
constexpr std::size_t kSuspectsPerDatagram = 8;
/** Limits have some 50 bytes each; bounded for the same reason. */
constexpr std::size_t kLimitsPerDatagram = 4;

} // namespace

auto ControlPlane::Send(std::vector<FailureDetector::Outgoing> aOut,
                        const Payload& aPayload) -> void
{
  const auto now = clock_.Now();
  FleetHeartbeat heartbeat;
  SetView(heartbeat);
  for (const auto& run : aPayload.lostRuns_) {
    heartbeat.lostRuns_.push_back(ToReport(run, now));
  }
  if (!aOut.empty()) {
    heartbeat.leavingEngines_ = leavingEngines_.UpdatesToSend(now);
  }
  for (auto& [address, message] : aOut) {
    heartbeat.probe_ = std::move(message);
    heartbeat.suspects_ = aPayload.suspects_;
    heartbeat.limits_.clear();
    for (const auto& limit : limits_.TakeUpdates(kLimitsPerDatagram)) {
      heartbeat.limits_.push_back(ToReport(limit, now));
    }
    for (const auto& notice :
         suspects_.TakeNotices(kSuspectsPerDatagram, now)) {
      heartbeat.suspects_.push_back(notice);
    }
    SendHeartbeat(address, heartbeat);
  }
}

auto ControlPlane::SendDirect(const std::string& aAddress,
                              FleetHeartbeat aHeartbeat) -> void
{
  aHeartbeat.probe_ = peers_.WithoutUpdates();
  SetView(aHeartbeat);
  SendHeartbeat(aAddress, aHeartbeat);
}

auto ControlPlane::SetView(FleetHeartbeat& aHeartbeat) const -> void
{
  aHeartbeat.configurationRow_ = configuration_.Row().version_;
  aHeartbeat.configurationVersion_ = configuration_.Version();
  aHeartbeat.engineRows_ = engines_.Version();
  aHeartbeat.configurationAge_ = AgeOf(StoreTable::Configuration);
  aHeartbeat.engineAge_ = AgeOf(StoreTable::Engines);
  aHeartbeat.evacuationVersion_ = evacuations_.Version();
}

auto ControlPlane::SendHeartbeat(const std::string& aAddress,
                                 const FleetHeartbeat& aHeartbeat) -> void
{
  const auto bytes = EncodeHeartbeat(aHeartbeat);
  const auto endpoint = ParseTcpEndpoint(aAddress);
  boost::system::error_code ignored; // Later datagrams make up for a lost one.
  heartbeatSocket_.send_to(asio::buffer(bytes),
                           Udp::endpoint(endpoint.address(), endpoint.port()),
                           0, ignored);
}

auto ControlPlane::PushHeartbeats() -> void
{
  Send(peers_.Push());
}

auto ControlPlane::ReceiveHeartbeats() -> Task<void>
{
  std::vector<char> buffer(kMaxHeartbeatBytes);
  for (;;) {
    Udp::endpoint from;
    const auto [error, size] = co_await heartbeatSocket_.async_receive_from(
      asio::buffer(buffer), from, kAsTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      continue; // Connection-refused errors of earlier sends surface here.
    }
    const std::string_view bytes(buffer.data(), size);
    Handle(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(heartbeat, DecodeHeartbeat(bytes));
        OnHeartbeat(heartbeat);
        return {};
      },
      [&](const Error& aError) {
        Log::Write(LogLevel::Warning, "beat_unreadable",
                   { { "reason", aError.message_ } });
      });
  }
}

auto ControlPlane::OnHeartbeat(const FleetHeartbeat& aHeartbeat) -> void
{
  const auto now = clock_.Now();
  Send(peers_.OnMessage(aHeartbeat.probe_, now));
  for (const auto& report : aHeartbeat.lostRuns_) {
    CountLost(FromReport(report, now));
  }
  for (const auto& report : aHeartbeat.unanswered_) {
    delegatedRuns_.Add(FromReport(report, now),
                       OwnerIdOf(aHeartbeat.probe_.sender_),
                       reports_.Owners(report.run_.request_));
  }
  for (const auto& notice : aHeartbeat.suspects_) {
    MergeSuspect(notice);
  }
  for (const auto& engine : aHeartbeat.leavingEngines_) {
    if (leavingEngines_.Add(engine, now)) {
      listener_.onLeaving_(engine);
    }
  }
  for (const auto& report : aHeartbeat.limits_) {
    MergeLimit(FromReport(report, now));
  }
  for (const auto& query : aHeartbeat.permitQueries_) {
    OnPermitQuery(query, aHeartbeat.probe_.sender_.peerAddress_);
  }
  for (const auto& permit : aHeartbeat.permits_) {
    OnPermitReply(permit);
  }
  // Without a row, or from a host of the previous release, the era is 0, which
  // says nothing.
  const auto era =
    std::max(aHeartbeat.configurationRow_.era_, aHeartbeat.engineRows_.era_);
  if (era > 0) {
    OnEra(era, aHeartbeat.probe_.sender_.host_.value_);
  }
  const auto lacksConfiguration = configuration_.OnPeer(
    aHeartbeat.configurationRow_, aHeartbeat.configurationVersion_);
  const auto lacksEvacuations =
    evacuations_.IsBehind(aHeartbeat.evacuationVersion_);
  auto renewed =
    !lacksConfiguration && !lacksEvacuations &&
    OnPeerViewAge(StoreTable::Configuration, aHeartbeat.configurationRow_,
                  aHeartbeat.configurationAge_);
  renewed |= OnPeerViewAge(StoreTable::Engines, aHeartbeat.engineRows_,
                           aHeartbeat.engineAge_);
  if (renewed) {
    PushHeartbeats();
  }
  const PeerVersions versions{ .configurationRow_ =
                                 aHeartbeat.configurationRow_,
                               .configurationVersion_ =
                                 aHeartbeat.configurationVersion_,
                               .engineRows_ = aHeartbeat.engineRows_,
                               .hosts_ = aHeartbeat.probe_.hosts_,
                               .evacuations_ = aHeartbeat.evacuationVersion_ };
  if (versions.configurationVersion_ != ConfigurationView::kUnreported) {
    confirmation_.OnPeer(versions.configurationVersion_,
                         configuration_.Version(), now);
  }
  if (Lacks(versions)) {
    fetchPlan_.OnHeard(aHeartbeat.probe_.sender_.peerAddress_, versions);
    MaintainFetches();
  }
}

auto ControlPlane::DisseminateDraining(const LeavingEngine& aEngine) -> void
{
  if (leavingEngines_.Add(aEngine, clock_.Now())) {
    PushHeartbeats();
  }
}

} // namespace goldcrestcroft

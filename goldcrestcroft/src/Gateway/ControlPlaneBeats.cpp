#include "../Observability/Log.h"
#include "ControlPlane.h"

namespace goldcrestcroft {

namespace {

constexpr std::size_t kMaxBeatBytes = 60'000;
/** Of 25 bytes each, so that a datagram with news of hosts still fits one
 * packet of 1,500 bytes. */
constexpr std::size_t kSuspectsPerDatagram = 8;
/** Of some 50 bytes each, for the same reason. */
constexpr std::size_t kLimitsPerDatagram = 4;

} // namespace

auto ControlPlane::Send(std::vector<FailureDetector::Outgoing> aOut,
                        const Cargo& aCargo) -> void
{
  const auto now = clock_.Now();
  FleetHeartbeat beat;
  SetView(beat);
  for (const auto& run : aCargo.lostRuns_) {
    beat.lostRuns_.push_back(ToReport(run, now));
  }
  if (!aOut.empty()) {
    beat.leavingEngines_ = leavingEngines_.Told(now);
  }
  for (auto& [address, message] : aOut) {
    beat.probe_ = std::move(message);
    beat.suspects_ = aCargo.suspects_;
    beat.limits_.clear();
    for (const auto& word : limits_.Tell(kLimitsPerDatagram)) {
      beat.limits_.push_back(ToReport(word, now));
    }
    for (const auto& notice : suspects_.Tell(kSuspectsPerDatagram, now)) {
      beat.suspects_.push_back(notice);
    }
    SendBeat(address, beat);
  }
}

auto ControlPlane::SendAlone(const std::string& aAddress, FleetHeartbeat aBeat)
  -> void
{
  aBeat.probe_ = peers_.WithoutNews();
  SetView(aBeat);
  SendBeat(aAddress, aBeat);
}

auto ControlPlane::SetView(FleetHeartbeat& aBeat) const -> void
{
  aBeat.configurationRow_ = configuration_.version_;
  aBeat.engineRows_ = engines_.Version();
  aBeat.configurationAge_ = AgeOf(StoreTable::Configuration);
  aBeat.engineAge_ = AgeOf(StoreTable::Engines);
}

auto ControlPlane::SendBeat(const std::string& aAddress,
                            const FleetHeartbeat& aBeat) -> void
{
  const auto bytes = EncodeHeartbeat(aBeat);
  const auto endpoint = ParseTcpEndpoint(aAddress);
  boost::system::error_code ignored; // A lost datagram is made up for.
  beats_.send_to(asio::buffer(bytes),
                 Udp::endpoint(endpoint.address(), endpoint.port()), 0,
                 ignored);
}

auto ControlPlane::BeatToSome() -> void
{
  Send(peers_.Push());
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
  for (const auto& report : aBeat.unanswered_) {
    entrusted_.Add(FromReport(report, now), KeeperOf(aBeat.probe_.sender_));
  }
  for (const auto& notice : aBeat.suspects_) {
    LearnSuspect(notice);
  }
  for (const auto& engine : aBeat.leavingEngines_) {
    if (leavingEngines_.Add(engine, now)) {
      listener_.onLeaving_(engine);
    }
  }
  for (const auto& report : aBeat.limits_) {
    LearnLimit(FromReport(report, now));
  }
  for (const auto& ask : aBeat.permitAsks_) {
    OnPermitAsk(ask, aBeat.probe_.sender_.peerAddress_);
  }
  for (const auto& permit : aBeat.permits_) {
    OnPermitAnswer(permit);
  }
  auto renewed = HearAge(StoreTable::Configuration, aBeat.configurationRow_,
                         aBeat.configurationAge_);
  renewed |= HearAge(StoreTable::Engines, aBeat.engineRows_, aBeat.engineAge_);
  if (renewed) {
    BeatToSome();
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

} // namespace goldcrestcroft

#include "../Observability/Log.h"
#include "ControlPlane.h"
#include "PackedText.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

constexpr auto kRepeatCrashes = std::chrono::seconds{ 2 };
constexpr std::size_t kMostCrashes = 64;
constexpr std::size_t kMostKnownCrashes = 4096;
/** Records passed on in one beat; with the fan-out each host is mentioned to
 * each other about every second among a hundred. */
constexpr std::size_t kDigest = 16;
constexpr auto kFetchTimeout = std::chrono::milliseconds{ 800 };
constexpr std::size_t kMaxBeatBytes = 60'000;

} // namespace

auto ControlPlane::PeerAddresses() const -> std::vector<std::string>
{
  std::set<std::string> addresses;
  for (const auto& record : peers_.Peers(clock_.Now())) {
    addresses.insert(record.peerAddress_);
  }
  for (const auto& [host, address] : hostRows_) {
    addresses.insert(address);
  }
  const auto port = std::to_string(options_.settings_.peerPort_);
  for (const auto& seed : options_.settings_.seeds_) {
    addresses.insert(seed.substr(0, seed.find(':')) + ":" + port);
  }
  addresses.erase(options_.settings_.PeerAddress());
  return { addresses.begin(), addresses.end() };
}

auto ControlPlane::BeatTo(const std::vector<std::string>& aAddresses) -> void
{
  const auto now = clock_.Now();
  FleetHeartbeat beat{ .sender_ = peers_.Beat(),
                       .configurationRow_ = configuration_.version_,
                       .engineRows_ = engines_.Version() };
  beat.passedOn_ = peers_.TakeDigest(kDigest, now);
  beat.crashes_ = crashes_;
  const auto bytes = EncodeHeartbeat(beat);
  for (const auto& address : aAddresses) {
    const auto endpoint = ParseTcpEndpoint(address);
    boost::system::error_code ignored; // A lost beat is followed by the next.
    beats_.send_to(asio::buffer(bytes),
                   Udp::endpoint(endpoint.address(), endpoint.port()), 0,
                   ignored);
  }
}

auto ControlPlane::BeatToSome() -> void
{
  auto addresses = PeerAddresses();
  if (addresses.size() > options_.smallFleet_) {
    std::shuffle(addresses.begin(), addresses.end(), random_);
    addresses.resize(options_.fanOut_);
  }
  BeatTo(addresses);
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
    for (const auto& gone : peers_.Tick(now)) {
      Log::Write(LogLevel::Info, "peer_gone", { { "peer", gone.value_ } });
    }
    while (!crashTimes_.empty() && now - crashTimes_.front() > kRepeatCrashes) {
      crashTimes_.erase(crashTimes_.begin());
      crashes_.erase(crashes_.begin());
    }
    std::erase_if(knownCrashes_, [&](const auto& aItem) {
      return now - aItem.second > kRepeatCrashes;
    });
    if (engines_.Tick(now)) {
      PublishEngines();
    }
    BeatToSome();
    PublishFleet();
    co_await Pause(options_.beat_);
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
  peers_.OnRecord(aBeat.sender_, now);
  for (const auto& record : aBeat.passedOn_) {
    if (record.host_ == peers_.Self().host_) {
      peers_.Outlive(record.incarnation_);
    }
    peers_.OnRecord(record, now);
  }
  for (const auto& news : aBeat.crashes_) {
    const auto known = knownCrashes_.find(news);
    if (known != knownCrashes_.end()) {
      known->second = now;
    } else if (knownCrashes_.size() < kMostKnownCrashes) {
      knownCrashes_.emplace(news, now);
      listener_.onCrash_(news);
    }
  }
  const auto behind = aBeat.configurationRow_ > configuration_.version_ ||
                      aBeat.engineRows_ > engines_.Version();
  if (behind) {
    FetchFrom(aBeat.sender_.peerAddress_);
  }
  PublishFleet();
}

auto ControlPlane::SpreadCrash(const CrashNews& aNews) -> void
{
  if (crashes_.size() < kMostCrashes) {
    crashes_.push_back(aNews);
    crashTimes_.push_back(clock_.Now());
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

auto ControlPlane::FetchFrom(const std::string& aAddress) -> void
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
                             .engineRows_ = engines_.Version() });
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
    aLink->Send(reply);
    return;
  }
  const auto* reply = std::get_if<StateReply>(&aFrame);
  if (reply == nullptr || aLink != fetch_) {
    Log::Write(LogLevel::Warning, "peer_frame_unexpected");
    return;
  }
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

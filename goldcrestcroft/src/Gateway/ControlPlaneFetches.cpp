#include "../Observability/Log.h"
#include "ControlPlane.h"
#include "PackedText.h"

#include <algorithm>

namespace goldcrestcroft {

auto ControlPlane::Lacks(const PeerVersions& aVersions) -> bool
{
  return configuration_.OnPeer(aVersions.configurationRow_,
                               aVersions.configurationVersion_) ||
         aVersions.engineRows_ > engines_.Version() ||
         evacuations_.IsBehind(aVersions.evacuations_) ||
         peers_.IsFarBehind(aVersions.hosts_);
}

auto ControlPlane::MaintainFetches() -> void
{
  const auto now = clock_.Now();
  for (const auto& address : fetchPlan_.TimedOut(now)) {
    const auto fetch = fetches_.find(address);
    if (fetch != fetches_.end()) {
      const auto link = fetch->second.link_;
      link->Close("no reply in time");
      OnFetchFailed(address, *link);
    }
  }
  const auto isWanted = [this](const auto& aVersions) {
    return Lacks(aVersions);
  };
  while (const auto request = fetchPlan_.Next(isWanted, now)) {
    FetchFrom(request->address_, peers_.IsFarBehind(request->state_.hosts_));
  }
}

auto ControlPlane::FetchFrom(const std::string& aAddress, bool aWholeFleet)
  -> void
{
  auto link = std::make_shared<PeerLink>(
    Tcp::socket(context_),
    PeerLink::Options{
      .onFrame_ = [this](const auto& aLink,
                         const auto& aFrame) { OnFrame(aLink, aFrame); },
      .onEnd_ =
        [this, aAddress](const auto& aLink) {
          const auto fetch = fetches_.find(aAddress);
          if (fetch != fetches_.end() && fetch->second.link_ == aLink) {
            OnFetchFailed(aAddress, *aLink);
            MaintainFetches();
          }
        } });
  fetches_[aAddress] = { .link_ = link, .startedAt_ = clock_.Now() };
  link->ConnectTo(aAddress);
  link->Send(StateRequest{ .configurationRow_ = configuration_.Row().version_,
                           .engineRows_ = engines_.Version(),
                           .configurationVersion_ = configuration_.Version(),
                           .wholeFleet_ = aWholeFleet });
}

auto ControlPlane::OnFetchFailed(const std::string& aAddress,
                                 const PeerLink& aLink) -> void
{
  const auto now = clock_.Now();
  const auto startedAt = fetches_.at(aAddress).startedAt_;
  fetches_.erase(aAddress);
  fetchPlan_.OnFailed(aAddress, now);
  const auto age = AgeOf(StoreTable::Configuration);
  Log::Write(
    LogLevel::Info, "fetch_failed",
    { { "peer", aAddress },
      { "connected", aLink.WasConnected() ? "true" : "false" },
      { "reason", aLink.CloseReason() },
      { "after_ms", std::to_string(ToMilliseconds(now - startedAt)) },
      { "hosts", std::to_string(peers_.Size()) },
      { "configuration", std::to_string(configuration_.Version()) },
      { "age_ms",
        age == kNeverComplete ? "never" : std::to_string(ToMilliseconds(age)) },
      { "others_asked", std::to_string(fetches_.size()) },
      { "skipped", std::to_string(fetchPlan_.Skipped(now)) } });
  metrics_.Count("fetches_failed");
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
      confirmation_.OnUnreadable();
      return false;
    });
}

auto ControlPlane::OnStateReply(const std::shared_ptr<PeerLink>& aLink,
                                const StateReply& aReply) -> void
{
  const auto fetch =
    std::find_if(fetches_.begin(), fetches_.end(), [&](const auto& aItem) {
      return aItem.second.link_ == aLink;
    });
  if (fetch == fetches_.end()) {
    Log::Write(LogLevel::Warning, "peer_frame_unexpected");
    return;
  }
  const auto address = fetch->first;
  fetches_.erase(fetch);
  fetchPlan_.OnAnswered(address);
  aLink->Close();
  const auto now = clock_.Now();
  peers_.Learn(aReply.hosts_, now);
  for (const auto& report : aReply.limits_) {
    MergeLimit(FromReport(report, now));
  }
  auto adopted =
    evacuations_.ApplyPeer(aReply.evacuations_, aReply.evacuationVersion_, now);
  if (adopted) {
    PublishEvacuations(address);
  }
  for (const auto& row : aReply.configuration_) {
    adopted |= AdoptPacked(row);
  }
  if (configuration_.Version() != 0) {
    // The peer had nothing later than this host has now.
    confirmation_.OnPeer(configuration_.Version(), configuration_.Version(),
                         now);
  }
  if (aReply.wholeEngines_
        ? engines_.ApplyAll(aReply.engines_, aReply.engineRows_, now)
        : engines_.Apply(aReply.engines_, now)) {
    adopted = true;
    PublishEngines();
  }
  auto renewed =
    OnPeerViewAge(StoreTable::Configuration, aReply.configurationRow_,
                  aReply.configurationAge_);
  renewed |=
    OnPeerViewAge(StoreTable::Engines, aReply.engineRows_, aReply.engineAge_);
  if (adopted) {
    Log::Write(
      LogLevel::Info, "state_from_peer",
      { { "peer", address },
        { "configuration_row", ToString(configuration_.Row().version_) },
        { "engine_rows", ToString(engines_.Version()) } });
  }
  if (adopted || renewed) {
    PushHeartbeats();
  }
  MaintainFetches();
}

} // namespace goldcrestcroft

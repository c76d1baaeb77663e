#include "../Observability/Log.h"
#include "ControlPlane.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

constexpr auto kIncarnationSeparator = '|';

} // namespace

auto ControlPlane::HostOfOwner(const std::string& aOwner) -> std::string
{
  return aOwner.substr(0, aOwner.rfind(kIncarnationSeparator));
}

auto ControlPlane::OwnerIdOf(const PeerRecord& aRecord) -> std::string
{
  return aRecord.host_.value_ + kIncarnationSeparator +
         std::to_string(aRecord.incarnation_);
}

auto ControlPlane::UpdateOwners() -> void
{
  // A restarted host knows nothing, so it is a new owner and is sent the
  // reports again.
  std::vector<std::string> hosts;
  std::vector<std::string> staying;
  const auto add = [&](const PeerRecord& aRecord) {
    hosts.push_back(OwnerIdOf(aRecord));
    if (!aRecord.leaving_) {
      staying.push_back(hosts.back());
    }
  };
  add(peers_.Self());
  for (const auto& update : peers_.Peers(clock_.Now())) {
    add(update.record_);
  }
  issuer_.SetHosts(hosts, hosts.front(), clock_.Now());
  // A host that is leaving passes on what it knows while it is still up.
  ownersChanged_ |=
    reports_.SetHosts(staying.empty() ? hosts : std::move(staying));
  // The hosts that have maintained the rows so far may be gone.
  for (const auto level :
       { SuspectLevel::Quarantined, SuspectLevel::Suspected }) {
    for (const auto& notice :
         suspects_.AtLevel(level, heldRows_.MaxTracked(), clock_.Now())) {
      if (!heldRows_.IsTracked(notice.request_)) {
        TrackIfOwner(notice);
      }
    }
  }
}

auto ControlPlane::TrackIfOwner(const SuspectNotice& aNotice) -> void
{
  const auto owners = reports_.Owners(aNotice.request_);
  const auto self = OwnerIdOf(peers_.Self());
  if (std::find(owners.begin(), owners.end(), self) != owners.end()) {
    heldRows_.Track(aNotice);
  }
}

auto ControlPlane::ReportLost(const LostRun& aRun) -> void
{
  reports_.Add(aRun);
  // This host's own runs count even if no owner can be reached.
  CountLost(aRun);
  ReportToOwners();
}

auto ControlPlane::CountLost(const LostRun& aRun) -> void
{
  const auto now = clock_.Now();
  reports_.AddReported(aRun);
  if (const auto notice = counter_.OnLost(aRun, now)) {
    AnnounceVerdict(*notice);
  }
}

auto ControlPlane::AnnounceVerdict(const SuspectNotice& aNotice) -> void
{
  Log::Write(
    LogLevel::Warning, "request_suspected",
    { { "fingerprint", ToHex(aNotice.request_) },
      { "kind", ToString(KindOf(aNotice.request_)) },
      { "level", ToString(aNotice.level_) },
      { "left_ms", std::to_string(ToMilliseconds(aNotice.left_)) },
      { "generation", std::to_string(aNotice.generation_) },
      { "count", std::to_string(counter_.CountOf(aNotice.request_)) } });
  DisseminateSuspect(aNotice);
  if (aNotice.level_ == SuspectLevel::Quarantined) {
    heldRows_.Track(aNotice);
  }
}

auto ControlPlane::RestoreHeldRequests() -> Task<void>
{
  if (!IsReader(StoreTable::HeldRequests)) {
    co_return;
  }
  const auto notices = co_await heldRows_.ReadAll();
  for (const auto& notice : notices) {
    MergeSuspect(notice);
    heldRows_.TrackStored(notice);
  }
}

auto ControlPlane::MergeSuspect(const SuspectNotice& aNotice) -> bool
{
  const auto now = clock_.Now();
  if (!suspects_.Merge(aNotice, now)) {
    return false;
  }
  counter_.OnNotice(aNotice, now);
  if (aNotice.level_ == SuspectLevel::Cleared) {
    reports_.Forget(aNotice.request_);
  } else {
    TrackIfOwner(aNotice);
  }
  listener_.onSuspect_(aNotice);
  Log::Write(LogLevel::Info, "suspect_known",
             { { "fingerprint", ToHex(aNotice.request_) },
               { "level", ToString(aNotice.level_) },
               { "generation", std::to_string(aNotice.generation_) },
               { "left_ms", std::to_string(ToMilliseconds(aNotice.left_)) } });
  return true;
}

auto ControlPlane::DisseminateSuspect(const SuspectNotice& aNotice) -> void
{
  if (!MergeSuspect(aNotice)) {
    return;
  }
  PushHeartbeats();
  if (aNotice.level_ == SuspectLevel::Cleared) {
    // An owner that does not receive the clearing notice in time quarantines
    // the request.
    for (const auto& owner : reports_.Owners(aNotice.request_)) {
      SendTo(owner, { .suspects_ = { aNotice } });
    }
  }
}

auto ControlPlane::AddressOfOwner(const std::string& aOwner) const
  -> std::string
{
  const auto* host = published_.Find(HostOfOwner(aOwner));
  return host == nullptr || host->id_ == published_.self_ ? ""
                                                          : host->peerAddress_;
}

auto ControlPlane::SendTo(const std::string& aOwner, const Payload& aPayload)
  -> void
{
  // This host's own counter knows its own runs.
  if (const auto address = AddressOfOwner(aOwner); !address.empty()) {
    Send(peers_.PushTo(address), aPayload);
  }
}

auto ControlPlane::DelegateToOwners(const UnansweredRun& aRun) -> void
{
  const auto self = OwnerIdOf(peers_.Self());
  const auto owners = reports_.OtherOwners(aRun.run_.request_, self);
  std::string recipients;
  for (const auto& owner : owners) {
    if (SendDelegated(aRun, owner)) {
      recipients += (recipients.empty() ? "" : " ") + HostOfOwner(owner);
    }
  }
  // For owners to come.
  delegatedRuns_.Add(aRun, self, owners);
  Log::Write(LogLevel::Info, "run_entrusted",
             { { "run", ToHex(aRun.run_.run_) }, { "keepers", recipients } });
}

auto ControlPlane::SendDelegated(const UnansweredRun& aRun,
                                 const std::string& aOwner) -> bool
{
  const auto address = AddressOfOwner(aOwner);
  if (!address.empty()) {
    SendDirect(address, { .unanswered_ = { ToReport(aRun, clock_.Now()) } });
  }
  return !address.empty();
}

auto ControlPlane::PassOnDelegatedRuns() -> void
{
  const auto self = OwnerIdOf(peers_.Self());
  delegatedRuns_.PassOn(
    [&](std::uint64_t aRequest) {
      return reports_.OtherOwners(aRequest, self);
    },
    [&](const UnansweredRun& aRun, const std::string& aOwner) {
      return OutlivesOwners(aRun.run_.request_) && SendDelegated(aRun, aOwner);
    });
}

auto ControlPlane::TakeOverRuns() -> void
{
  const auto lost = delegatedRuns_.TakeOver(
    *engineList_, clock_.Now(),
    [this](const auto& aHost) { return reports_.IsLive(aHost); });
  for (const auto& run : lost) {
    Log::Write(
      LogLevel::Info, "run_taken_over",
      { { "fingerprint", ToHex(run.request_) }, { "run", ToHex(run.run_) } });
    CountLost(run);
  }
}

auto ControlPlane::MaintainSuspects() -> void
{
  const auto now = clock_.Now();
  counter_.Expire(now);
  suspects_.Expire(now);
  TakeOverRuns();
  if (std::exchange(ownersChanged_, false)) {
    PassOnDelegatedRuns();
  }
  for (const auto& notice : counter_.Due(now)) {
    AnnounceVerdict(notice);
  }
  for (const auto& notice : counter_.TakeIncreasedCounts(now)) {
    DisseminateSuspect(notice);
  }
  ReportToOwners();
}

auto ControlPlane::ReportToOwners() -> void
{
  for (const auto& [owner, runs] : reports_.Due(clock_.Now())) {
    SendTo(owner, { .lostRuns_ = runs });
  }
}

} // namespace goldcrestcroft

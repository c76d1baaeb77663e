#include "../Observability/Log.h"
#include "ControlPlane.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

constexpr auto kBeforeIncarnation = '|';

} // namespace

auto ControlPlane::HostOfKeeper(const std::string& aKeeper) -> std::string
{
  return aKeeper.substr(0, aKeeper.rfind(kBeforeIncarnation));
}

auto ControlPlane::KeeperOf(const PeerRecord& aRecord) -> std::string
{
  return aRecord.host_.value_ + kBeforeIncarnation +
         std::to_string(aRecord.incarnation_);
}

auto ControlPlane::SetKeepers() -> void
{
  // A host that starts again knows nothing and is told again.
  std::vector<std::string> keepers;
  keepers.push_back(KeeperOf(peers_.Self()));
  for (const auto& news : peers_.Peers(clock_.Now())) {
    keepers.push_back(KeeperOf(news.record_));
  }
  issuer_.SetHosts(keepers, keepers.front());
  reports_.SetHosts(std::move(keepers));
  // Those who have kept the rows so far may be gone.
  for (const auto level : { SuspectLevel::HeldBack, SuspectLevel::Suspected }) {
    for (const auto& notice :
         suspects_.AtLevel(level, heldRows_.MostKept(), clock_.Now())) {
      if (!heldRows_.IsKept(notice.request_)) {
        KeepRow(notice);
      }
    }
  }
}

auto ControlPlane::KeepRow(const SuspectNotice& aNotice) -> void
{
  const auto keepers = reports_.Keepers(aNotice.request_);
  const auto self = KeeperOf(peers_.Self());
  if (std::find(keepers.begin(), keepers.end(), self) != keepers.end()) {
    heldRows_.Keep(aNotice);
  }
}

auto ControlPlane::ReportLost(const LostRun& aRun) -> void
{
  reports_.Add(aRun);
  // Also where no keeper can be reached, this host's own runs count.
  CountLost(aRun);
  ReportToKeepers();
}

auto ControlPlane::CountLost(const LostRun& aRun) -> void
{
  const auto now = clock_.Now();
  if (const auto notice = counter_.OnLost(aRun, now)) {
    AnnounceVerdict(*notice);
  }
}

auto ControlPlane::AnnounceVerdict(const SuspectNotice& aNotice) -> void
{
  Log::Write(
    LogLevel::Warning, "request_suspected",
    { { "fingerprint", ToHex(aNotice.request_) },
      { "level", ToString(aNotice.level_) },
      { "generation", std::to_string(aNotice.generation_) },
      { "count", std::to_string(counter_.CountOf(aNotice.request_)) } });
  SpreadSuspect(aNotice);
  if (aNotice.level_ == SuspectLevel::HeldBack) {
    heldRows_.Keep(aNotice);
  }
}

auto ControlPlane::RestoreHeldRequests() -> Task<void>
{
  if (!IsReader(StoreTable::HeldRequests)) {
    co_return;
  }
  const auto notices = co_await heldRows_.ReadAll();
  for (const auto& notice : notices) {
    LearnSuspect(notice);
    heldRows_.KeepRead(notice);
  }
}

auto ControlPlane::LearnSuspect(const SuspectNotice& aNotice) -> bool
{
  const auto now = clock_.Now();
  if (!suspects_.Merge(aNotice, now)) {
    return false;
  }
  counter_.OnNotice(aNotice, now);
  if (aNotice.level_ == SuspectLevel::Cleared) {
    reports_.Forget(aNotice.request_);
  } else {
    KeepRow(aNotice);
  }
  listener_.onSuspect_(aNotice);
  Log::Write(LogLevel::Info, "suspect_known",
             { { "fingerprint", ToHex(aNotice.request_) },
               { "level", ToString(aNotice.level_) },
               { "generation", std::to_string(aNotice.generation_) },
               { "left_ms", std::to_string(ToMilliseconds(aNotice.left_)) } });
  return true;
}

auto ControlPlane::SpreadSuspect(const SuspectNotice& aNotice) -> void
{
  if (!LearnSuspect(aNotice)) {
    return;
  }
  BeatToSome();
  if (aNotice.level_ == SuspectLevel::Cleared) {
    // What its keepers do not hear in time, they hold back.
    for (const auto& keeper : reports_.Keepers(aNotice.request_)) {
      SendTo(keeper, { .suspects_ = { aNotice } });
    }
  }
}

auto ControlPlane::AddressOfKeeper(const std::string& aKeeper) const
  -> std::string
{
  const auto* host = published_.Find(HostOfKeeper(aKeeper));
  return host == nullptr || host->id_ == published_.self_ ? ""
                                                          : host->peerAddress_;
}

auto ControlPlane::SendTo(const std::string& aKeeper, const Cargo& aCargo)
  -> void
{
  // Its own counter knows its own runs.
  if (const auto address = AddressOfKeeper(aKeeper); !address.empty()) {
    Send(peers_.PushTo(address), aCargo);
  }
}

auto ControlPlane::EntrustToKeepers(const UnansweredRun& aRun) -> void
{
  const auto report = ToReport(aRun, clock_.Now());
  std::string told;
  for (const auto& keeper : reports_.Keepers(aRun.run_.request_)) {
    if (const auto address = AddressOfKeeper(keeper); !address.empty()) {
      SendAlone(address, { .unanswered_ = { report } });
      told += (told.empty() ? "" : " ") + HostOfKeeper(keeper);
    }
  }
  Log::Write(LogLevel::Info, "run_entrusted",
             { { "run", ToHex(aRun.run_.run_) }, { "keepers", told } });
}

auto ControlPlane::TakeOverRuns() -> void
{
  const auto lost =
    entrusted_.TakeOver(*engineList_, clock_.Now(), [this](const auto& aHost) {
      return reports_.IsLive(aHost);
    });
  for (const auto& run : lost) {
    Log::Write(
      LogLevel::Info, "run_taken_over",
      { { "fingerprint", ToHex(run.request_) }, { "run", ToHex(run.run_) } });
    CountLost(run);
  }
}

auto ControlPlane::TendSuspects() -> void
{
  const auto now = clock_.Now();
  counter_.Expire(now);
  suspects_.Expire(now);
  TakeOverRuns();
  for (const auto& notice : counter_.Due(now)) {
    AnnounceVerdict(notice);
  }
  for (const auto& notice : counter_.Recounted(now)) {
    SpreadSuspect(notice);
  }
  ReportToKeepers();
}

auto ControlPlane::ReportToKeepers() -> void
{
  for (const auto& [keeper, runs] : reports_.Due(clock_.Now())) {
    SendTo(keeper, { .lostRuns_ = runs });
  }
}

} // namespace goldcrestcroft

#include "../Observability/Log.h"
#include "ControlPlane.h"

namespace goldcrestcroft {

namespace {

constexpr auto kBeforeIncarnation = '|';

} // namespace

auto ControlPlane::HostOfKeeper(const std::string& aKeeper) -> std::string
{
  return aKeeper.substr(0, aKeeper.rfind(kBeforeIncarnation));
}

auto ControlPlane::SetKeepers() -> void
{
  // A host that starts again knows nothing and is told again.
  std::vector<std::string> keepers;
  const auto add = [&](const PeerRecord& aRecord) {
    keepers.push_back(aRecord.host_.value_ + kBeforeIncarnation +
                      std::to_string(aRecord.incarnation_));
  };
  add(peers_.Self());
  for (const auto& news : peers_.Peers(clock_.Now())) {
    add(news.record_);
  }
  issuer_.SetHosts(keepers, keepers.front());
  reports_.SetHosts(std::move(keepers));
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
    if (LearnSuspect(notice)) {
      heldRows_.Keep(notice, true);
    }
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

auto ControlPlane::SendTo(const std::string& aKeeper, const Cargo& aCargo)
  -> void
{
  const auto* host = published_.Find(HostOfKeeper(aKeeper));
  // Its own counter knows its own runs.
  if (host != nullptr && host->id_ != published_.self_) {
    Send(peers_.PushTo(host->peerAddress_), aCargo);
  }
}

auto ControlPlane::TendSuspects() -> void
{
  const auto now = clock_.Now();
  counter_.Expire(now);
  suspects_.Expire(now);
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

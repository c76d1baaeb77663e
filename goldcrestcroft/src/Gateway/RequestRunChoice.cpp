#include "RequestRun.h"

#include <algorithm>

namespace goldcrestcroft {

auto RequestRun::Candidates(std::vector<EngineEntry>& aEntries)
  -> std::vector<EngineCandidate>
{
  // Prefers an engine that accepts the request now, then one with a wait, then
  // one whose version the store has yet to record, then a suspended one.
  // Suspensions never empty a pool: engines that fail some requests serve the
  // others, and a refusal would serve none.
  for (const auto lastResort : { false, true }) {
    for (const auto anyVersion : { false, true }) {
      for (const auto maxWait : { Duration{}, MaxPermitWait() }) {
        auto candidates =
          FilterEngines(aEntries, lastResort, maxWait, anyVersion);
        if (!candidates.empty()) {
          maxWait_ = maxWait;
          return candidates;
        }
      }
      if (!MayBeginStream()) {
        break;
      }
    }
  }
  return {};
}

auto RequestRun::MaxPermitWait() const -> Duration
{
  // Most of the time left is reserved for the engine. Urgent requests may wait
  // longer for a permit, so they are served first where permits are scarce.
  constexpr auto kWaitDivisor = 4;
  // A stopping host lets no request wait, so that each gets its response before
  // the host ends.
  if (traffic_.IsStopping()) {
    return {};
  }
  const auto left = std::max<Duration>(TimeLeft(), {}) / kWaitDivisor;
  return rank_ <= 0 ? left : left / 2;
}

auto RequestRun::FilterEngines(std::vector<EngineEntry>& aEntries,
                               bool aLastResort, Duration aMaxWait,
                               bool aIsAnyVersion)
  -> std::vector<EngineCandidate>
{
  auto& pool = traffic_.Pool();
  const auto now = traffic_.Now();
  const auto* profile = routing_->FindService(service_);
  const auto hosts = std::max<std::size_t>(traffic_.Fleet().hosts_.size(), 1);
  const auto share = std::max<std::size_t>(
    (profile != nullptr ? profile->maxConnections_ : 64) / hosts, 2);
  if (MayBeginStream()) {
    onlyVersion_ = traffic_.Versions().OnlyVersion(IdOfStream());
  }
  std::vector<EngineCandidate> candidates;
  for (const auto& entry : pool.Engines().EnginesOf(service_)) {
    const auto state = pool.StateOf(entry);
    const auto full = state->openConnections_ >= share && state->kept_.empty();
    const auto& health = state->health_;
    const auto onTrial = health.IsOnTrial() && state->ownRequests_ > 0;
    const auto fits =
      aLastResort ? health.IsLastResort() : health.IsUsable(now) && !onTrial;
    const auto wants = state->availability_.IsEligible(aMaxWait, now);
    if (tried_.contains(entry.id_) || full || !fits || !wants ||
        !MayServe(*state, aIsAnyVersion)) {
      continue;
    }
    aEntries.push_back(entry);
    candidates.push_back(
      { .id_ = entry.id_,
        .zone_ = entry.zone_,
        .slots_ = static_cast<double>(entry.slots_),
        .ownRequests_ = static_cast<double>(state->ownRequests_),
        .reportedRequests_ = state->ReportedRequests(now),
        .slowness_ = 1.0 + state->health_.FailureShare() });
  }
  return candidates;
}

auto RequestRun::TimeUntilEngineAvailable() const -> Duration
{
  const auto now = traffic_.Now();
  std::optional<Duration> least;
  for (const auto& entry : traffic_.Pool().Engines().EnginesOf(service_)) {
    if (origin_.version_ && entry.version_ != *origin_.version_) {
      continue;
    }
    const auto& consent = traffic_.Pool().StateOf(entry)->availability_;
    if (consent.IsEligible({}, now)) {
      return {};
    }
    if (!consent.IsLeaving()) {
      const auto left = consent.WaitLeft(now);
      least = least ? std::min(*least, left) : left;
    }
  }
  if (!least) {
    return {};
  }
  // Spreads the retries of callers that are refused at the same time.
  constexpr auto kSteps = 1000;
  return *least +
         *least * static_cast<Duration::rep>(Fingerprint(requestId_) % kSteps) /
           kSteps;
}

auto RequestRun::RefuseIfEvacuated(
  const std::vector<std::uint32_t>& aPieces) const -> std::optional<LocalReply>
{
  const auto& engines = traffic_.Pool().Engines();
  auto evacuated = engines.IsEvacuated(service_) ? service_ : std::string();
  for (std::size_t i = 0; i < route_->stages_.size(); ++i) {
    const auto& service = route_->stages_[i].service_;
    const auto isNeeded = i >= aPieces.size() || aPieces[i] > 0;
    if (isNeeded && engines.IsEvacuated(service)) {
      evacuated = service;
    }
  }
  if (evacuated.empty()) {
    return std::nullopt;
  }
  return LocalReply{ .reason_ = "zones_evacuated",
                     .message_ = "all zones with engines of service '" +
                                 evacuated + "' are evacuated",
                     .retryAfter_ = traffic_.Options().retryAfter_ };
}

auto RequestRun::PlanHome() -> void
{
  zone_ = traffic_.Fleet().zone_;
  const auto part = SharedPartId(prompt_);
  if (part.empty()) {
    return;
  }
  std::vector<EngineEntry> entries;
  auto candidates = Candidates(entries);
  if (!route_->stages_.empty()) {
    const auto shares = StageShares();
    std::map<std::string, double> engines;
    for (const auto& entry : entries) {
      engines[entry.zone_] += 1.0;
    }
    for (auto& candidate : candidates) {
      const auto share = shares.find(candidate.zone_);
      candidate.homeWeight_ =
        share == shares.end() ? 0.0 : share->second / engines[candidate.zone_];
    }
  }
  const auto home = ChooseHome(candidates, { .ownZone_ = zone_ }, part);
  if (home) {
    home_ = entries[*home].id_;
    zone_ = entries[*home].zone_;
  }
}

auto RequestRun::ChooseEngine() -> std::shared_ptr<EngineState>
{
  std::vector<EngineEntry> entries;
  const auto candidates = Candidates(entries);
  const EngineChoiceOptions options{ .ownZone_ = zone_ };
  const auto part = SharedPartId(prompt_);
  auto chosen = part.empty()
                  ? ChooseLeastLoaded(candidates, options, requestId_)
                  : ChooseHome(candidates, options, part);
  // Each is for one attempt.
  const auto home = std::exchange(home_, {});
  const auto assigned = std::exchange(assigned_, {});
  for (const auto& preferred : { home, assigned }) {
    const auto found =
      std::find_if(entries.begin(), entries.end(),
                   [&](const auto& aEntry) { return aEntry.id_ == preferred; });
    if (found != entries.end()) {
      chosen = static_cast<std::size_t>(found - entries.begin());
    }
  }
  if (!chosen) {
    return nullptr;
  }
  return traffic_.Pool().StateOf(entries[*chosen]);
}

} // namespace goldcrestcroft

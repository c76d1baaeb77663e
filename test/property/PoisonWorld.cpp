#include "PoisonWorld.h"

namespace testing {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

namespace {

/** Fraction of the slots that harmless requests occupy. */
constexpr double kLoad = 0.5;
/** Mean duration of a run, which takes 300 to 3,000 ms. */
constexpr double kMeanRunMs = 1650.0;
/** Number of request bodies of which many copies run at once, and of which a
 * few do. */
constexpr std::size_t kPopular = 8;
constexpr std::size_t kModeratelyPopular = 200;
constexpr std::uint64_t kFirstPoison = 1'000'000;
constexpr std::size_t kPoisons = 3;

} // namespace

PoisonWorld::PoisonWorld(Options aOptions)
  : VirtualWorld(aOptions.seed_, kFirstPoison * 2)
  , options_(aOptions)
  , end_(clock_.Now() + aOptions.day_)
  , hosts_(aOptions.hosts_)
  , engines_(aOptions.engines_)
{
}

auto PoisonWorld::LiveHost() -> std::size_t
{
  for (;;) {
    if (const auto host = Random(hosts_.size()); hosts_[host].suspects_) {
      return host;
    }
  }
}

auto PoisonWorld::Play() -> Outcome
{
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    StartHost(i);
  }
  PublishHosts();
  for (auto& engine : engines_) {
    engine.start_ = ++numbers_;
  }
  const auto flapping = std::max<std::size_t>(1, engines_.size() / 40);
  for (std::size_t i = 0; i < flapping; ++i) {
    After(Between(1000, 4000), [this, i] { Flap(i); });
  }
  Arrive();
  // The first poison request starts while there is no wave of crashes, the
  // others just before waves.
  constexpr std::array<int, kPoisons> kStartMs{ 4000, 17'500, 29'900 };
  for (std::size_t i = 0; i < kPoisons; ++i) {
    // Spread over the range of values, since some notices are sent in the order
    // of these values.
    const auto poison = (i + 1) * (UINT64_MAX / (kPoisons + 1)) + kFirstPoison;
    poisons_[poison];
    After(milliseconds{ kStartMs[i] }, [this, poison] { CallPoison(poison); });
  }
  for (const auto at : { 9000, 18'000, 30'000, 33'000, 42'000, 51'000 }) {
    After(milliseconds{ at }, [this] { Wave(); });
  }
  After(Between(5000, 7000), [this] { RestartSome(); });
  StartCrashingParts();
  RunUntil(end_);
  for (const auto& [request, poison] : poisons_) {
    outcome_.lateSends_ = std::max(outcome_.lateSends_, poison.lateSends_);
    outcome_.crashes_ += poison.crashes_;
  }
  for (const auto& [part, crashing] : crashingParts_) {
    outcome_.latePartSends_ =
      std::max(outcome_.latePartSends_, crashing.lateSends_);
    outcome_.partCrashes_ += crashing.crashes_;
  }
  return outcome_;
}

auto PoisonWorld::PickHarmless() -> std::uint64_t
{
  const auto spread = [](std::uint64_t aNumber) {
    return RequestFingerprint(std::to_string(aNumber));
  };
  const auto kind = Random(100);
  if (kind < 25) {
    return spread(Random(kPopular));
  }
  return kind < 45 ? spread(kPopular + Random(kModeratelyPopular))
                   : spread(++numbers_);
}

auto PoisonWorld::Arrive() -> void
{
  const auto slots = static_cast<double>(engines_.size() * options_.slots_);
  std::exponential_distribution<double> gap(slots * kLoad / kMeanRunMs);
  After(Duration{ static_cast<std::int64_t>(gap(random_) * 1000.0) },
        [this] { Arrive(); });
  ++outcome_.requests_;
  Send(
    { .request_ = PickHarmless(), .host_ = LiveHost(), .parts_ = PickParts() });
}

auto PoisonWorld::Send(Call aCall) -> void
{
  const auto now = clock_.Now();
  auto& host = hosts_[aCall.host_];
  if (!host.suspects_) {
    return;
  }
  auto* cause = CauseOf(aCall);
  if (IsQuarantined(host, aCall)) {
    outcome_.harmlessRejected_ += cause == nullptr ? 1 : 0;
    const auto forRequest = host.suspects_->IsQuarantined(aCall.request_, now);
    outcome_.rejectedForPart_ += cause == nullptr && !forRequest ? 1 : 0;
    return;
  }
  auto engine = Random(engines_.size());
  for (auto tries = 0; tries < 20; ++tries, engine = Random(engines_.size())) {
    if (engines_[engine].alive_ &&
        engines_[engine].runs_.size() < options_.slots_) {
      break;
    }
  }
  if (!engines_[engine].alive_) {
    return;
  }
  --aCall.sendsLeft_;
  const auto run = ++numbers_;
  engines_[engine].runs_[run] = { aCall,
                                  { .request_ = aCall.request_,
                                    .run_ = run,
                                    .engine_ = engines_[engine].start_,
                                    .began_ = now,
                                    .parts_ = aCall.parts_,
                                    .responding_ = IsLostResponding(cause) } };
  if (cause == nullptr) {
    After(Between(300, 3000), [this, engine, run] { Complete(engine, run); });
    After(Between(300, 1000), [this, engine, run] { ProveParts(engine, run); });
    return;
  }
  const auto inContact = now - host.startedAt_ >= options_.contact_;
  const auto isLate = cause->crashes_ >= cause->countedCrashes_ &&
                      now > cause->reachedAt_ + options_.contact_;
  cause->lateSends_ += inContact && isLate ? 1 : 0;
  After(Between(50, 300), [this, engine, run] { Crash(engine, run); });
}

auto PoisonWorld::Complete(std::size_t aEngine, std::uint64_t aRun) -> void
{
  auto node = engines_[aEngine].runs_.extract(aRun);
  if (node.empty()) {
    return;
  }
  const auto& call = node.mapped().call_;
  if (auto& host = hosts_[call.host_]; host.suspects_) {
    Deliver(call.host_,
            host.suspects_->OnCompleted(call.request_, clock_.Now()));
    for (const auto part : call.parts_) {
      Deliver(call.host_, host.suspects_->OnCompleted(part, clock_.Now()));
    }
  }
}

auto PoisonWorld::Crash(std::size_t aEngine, std::uint64_t aRun) -> void
{
  const auto found = engines_[aEngine].runs_.find(aRun);
  if (found == engines_[aEngine].runs_.end()) {
    return;
  }
  auto& cause = *CauseOf(found->second.call_);
  if (++cause.crashes_ == cause.countedCrashes_) {
    cause.reachedAt_ = clock_.Now();
  }
  StopEngine(aEngine, Between(2000, 5000));
}

auto PoisonWorld::StopEngine(std::size_t aEngine, Duration aDowntime) -> void
{
  auto& engine = engines_[aEngine];
  if (!engine.alive_) {
    return;
  }
  engine.alive_ = false;
  for (const auto& [number, run] : std::exchange(engine.runs_, {})) {
    // Hosts notice the loss one after the other.
    After(Between(1, 10), [this, lost = run] { Lose(lost); });
  }
  After(aDowntime, [this, aEngine] {
    engines_[aEngine].alive_ = true;
    engines_[aEngine].start_ = ++numbers_;
  });
}

auto PoisonWorld::Lose(const Run& aRun) -> void
{
  ++outcome_.runsLost_;
  auto call = aRun.call_;
  if (auto& host = hosts_[call.host_]; host.suspects_) {
    Deliver(call.host_, host.suspects_->OnLost(aRun.run_, clock_.Now()));
    if (call.sendsLeft_ > 0) {
      After(Between(1, 50), [this, call] { Send(call); });
      return;
    }
  }
  if (call.retriesLeft_ > 0 && !poisons_.contains(call.request_)) {
    After(Between(50, 1000), [this, call] {
      Send({ .request_ = call.request_,
             .host_ = LiveHost(),
             .retriesLeft_ = call.retriesLeft_ - 1,
             .parts_ = call.parts_ });
    });
  }
}

auto PoisonWorld::Flap(std::size_t aEngine) -> void
{
  StopEngine(aEngine, Between(300, 1500));
  After(Between(2000, 5000), [this, aEngine] { Flap(aEngine); });
}

auto PoisonWorld::Wave() -> void
{
  const auto share = 17 + Random(14);
  std::set<std::size_t> hit;
  while (hit.size() * 100 < engines_.size() * share) {
    hit.insert(Random(engines_.size()));
  }
  for (const auto engine : hit) {
    StopEngine(engine, Between(2000, 6000));
  }
}

auto PoisonWorld::CallPoison(std::uint64_t aPoison) -> void
{
  Send({ .request_ = aPoison, .host_ = LiveHost() });
  After(Between(800, 1200), [this, aPoison] { CallPoison(aPoison); });
}

} // namespace testing

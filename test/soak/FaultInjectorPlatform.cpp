#include "FaultInjector.h"

#include <array>

namespace soak {

using namespace goldcrestcroft;
using namespace std::chrono_literals;
using Trouble = standins::EngineStandin::Trouble;

namespace {

constexpr auto kDrainLength = std::chrono::milliseconds{ 6000 };

auto LinkFaultOf(const Fault& aFault) -> LinkFault
{
  constexpr std::array kFaults = {
    LinkFault::Delayed,    LinkFault::Reset,       LinkFault::Paused,
    LinkFault::Blackholed, LinkFault::NoResponses, LinkFault::NoRequests
  };
  return kFaults.at(aFault.variant_ % kFaults.size());
}

} // namespace

auto FaultInjector::InjectLinkFault(LoopbackProxy& aLink, std::string aPart,
                                    Fault aFault) -> Task<void>
{
  const auto interval = faultLog_.Begin(aPart, Now());
  const auto link = LinkOf(aPart);
  ++active_[link];
  aLink.SetFault(LinkFaultOf(aFault), aFault.for_ / 4);
  co_await Sleep(context_, aFault.for_);
  if (--active_[link] == 0) {
    aLink.SetFault(LinkFault::None);
  }
  faultLog_.End(interval, Now());
}

auto FaultInjector::InjectEngineLinkFault(Fault aFault) -> Task<void>
{
  const auto id = fleet_.Engines()[aFault.target_].standin_->Id();
  const auto fault = LinkFaultOf(aFault);
  // Delayed and paused bytes still arrive, so they abort no request.
  const auto waits = fault == LinkFault::Delayed || fault == LinkFault::Paused;
  const auto breaks =
    faultLog_.Begin(waits ? LinkOf(id) : BreakPart(id), Now());
  co_await InjectLinkFault(fleet_.EngineLink(aFault.target_), EnginePart(id),
                           aFault);
  faultLog_.End(breaks, Now());
}

auto FaultInjector::InjectEngineFault(Fault aFault) -> Task<void>
{
  constexpr std::array kTroubles = { Trouble::Drops, Trouble::Truncates,
                                     Trouble::Stray, Trouble::Full,
                                     Trouble::Fails, Trouble::Unsigned };
  constexpr auto kSlowest = 2000;
  auto& engine = *fleet_.Engines()[aFault.target_].standin_;
  const auto part = EnginePart(engine.Id());
  const auto interval = faultLog_.Begin(part, Now());
  const auto trouble = kTroubles.at(aFault.variant_ % kTroubles.size());
  const auto breaks =
    aFault.kind_ == FaultKind::EngineTrouble &&
    (trouble == Trouble::Drops || trouble == Trouble::Truncates);
  const auto breaking =
    breaks ? faultLog_.Begin(BreakPart(engine.Id()), Now()) : interval;
  ++active_[part];
  if (aFault.kind_ == FaultKind::EngineSlow) {
    engine.delayMs_ = static_cast<int>(aFault.variant_ * 100 % kSlowest);
  } else {
    engine.trouble_ = trouble;
  }
  co_await Sleep(context_, aFault.for_);
  if (--active_[part] == 0) {
    engine.trouble_ = Trouble::None;
    engine.delayMs_ = 0;
  }
  faultLog_.End(breaking, Now());
  faultLog_.End(interval, Now());
}

auto FaultInjector::SendUnframed(Fault aFault) -> Task<void>
{
  auto& engine = *fleet_.Engines()[aFault.target_].standin_;
  const auto key = ToString(aFault.kind_) + engine.Id();
  const auto interval = faultLog_.Begin(EnginePart(engine.Id()), Now());
  const auto breaks = faultLog_.Begin(BreakPart(engine.Id()), Now());
  ++active_[key];
  engine.unframed_ = true;
  co_await Sleep(context_, aFault.for_);
  if (--active_[key] == 0) {
    engine.unframed_ = false;
  }
  faultLog_.End(breaks, Now());
  faultLog_.End(interval, Now());
}

auto FaultInjector::RestartEngine(Fault aFault) -> Task<void>
{
  auto& engine = fleet_.Engines()[aFault.target_];
  const auto part = EnginePart(engine.standin_->Id());
  const auto interval = faultLog_.Begin(part, Now());
  const auto breaks = faultLog_.Begin(BreakPart(engine.standin_->Id()), Now());
  const auto link = LinkOf(part);
  ++active_[link];
  fleet_.EngineLink(aFault.target_).SetFault(LinkFault::Reset);
  co_await Sleep(context_, aFault.for_);
  if (--active_[link] == 0) {
    fleet_.EngineLink(aFault.target_).SetFault(LinkFault::None);
  }
  engine.standin_->Restart();
  fleet_.Platform().Store().Put(
    "servers", engine.standin_->Id(),
    engine.standin_->Entry(engine.service_,
                           engine.draining_ ? "draining" : "ready"));
  faultLog_.End(interval, Now());
  faultLog_.End(breaks, Now());
}

auto FaultInjector::Drain(Fault aFault) -> Task<void>
{
  auto& engine = fleet_.Engines()[aFault.target_];
  for (const auto& other : fleet_.Engines()) {
    if (other.service_ == engine.service_ && other.draining_) {
      co_return; // A second draining engine would leave the service too few.
    }
  }
  auto& store = fleet_.Platform().Store();
  const auto& id = engine.standin_->Id();
  engine.draining_ = true;
  store.Put("servers", id, engine.standin_->Entry(engine.service_, "draining"));
  const auto drain = drains_.size();
  drains_.push_back({ .engine_ = id, .from_ = Now() });
  co_await Sleep(context_, kDrainLength);
  engine.draining_ = false;
  drains_[drain].to_ = Now();
  store.Put("servers", id, engine.standin_->Entry(engine.service_, "ready"));
}

auto FaultInjector::LimitEngine(Fault aFault) -> Task<void>
{
  // Exceeds the time that hosts have to apply the limit plus one window of the
  // LIMIT rule.
  constexpr auto kLimited = 10s;
  constexpr std::array kLimits = { 0.0, 0.5, 1.0, 3.0, 10.0 };
  auto& engine = *fleet_.Engines()[aFault.target_].standin_;
  if (engine.limit_ >= 0.0) {
    co_return;
  }
  const auto limit = kLimits.at(aFault.variant_ % kLimits.size());
  engine.limit_ = limit;
  const auto number = limits_.size();
  limits_.push_back(
    { .engine_ = engine.Id(), .perSecond_ = limit, .from_ = Now() });
  co_await Sleep(context_, kLimited);
  engine.limit_ = -1.0;
  limits_[number].to_ = Now();
}

auto FaultInjector::InjectStoreFault(Fault aFault) -> Task<void>
{
  auto& store = fleet_.Platform().Store();
  auto& flag = aFault.kind_ == FaultKind::StoreBusy      ? store.busy_
               : aFault.kind_ == FaultKind::StoreForgets ? store.historyLost_
                                                         : store.losesAnswers_;
  const auto name = ToString(aFault.kind_);
  const auto interval = faultLog_.Begin(kStorePart, Now());
  ++active_[name];
  flag = true;
  co_await Sleep(context_, aFault.for_);
  if (--active_[name] == 0) {
    flag = false;
  }
  faultLog_.End(interval, Now());
}

auto FaultInjector::RefuseHosts(Fault aFault) -> Task<void>
{
  using EndpointState = standins::StoreStandin::EndpointState;
  constexpr std::array kDoors = { EndpointState::Busy, EndpointState::TooMany,
                                  EndpointState::Silent };
  // Long enough that a change made at the start is in force well before the
  // end.
  constexpr auto kLength = 6s;
  constexpr std::size_t kServedOneIn = 8;
  auto& store = fleet_.Platform().Store();
  const auto part = ToString(aFault.kind_);
  if (active_[part]++ > 0) {
    --active_[part];
    co_return;
  }
  const auto hosts = fleet_.Hosts().size();
  std::map<std::size_t, std::size_t> intervals;
  for (std::size_t i = 0; i < hosts; ++i) {
    // The store serves one host in eight, and at least one.
    const auto place = (i + hosts - aFault.target_) % hosts;
    if (place % kServedOneIn != 0) {
      store.SetEndpointState(i, kDoors.at(aFault.variant_ % kDoors.size()));
      intervals[i] = faultLog_.Begin(StoreDoorPart(i), Now());
    }
  }
  ChangeConfig({ .kind_ = FaultKind::KeyRevoked });
  co_await Sleep(context_, kLength);
  for (const auto& [host, interval] : intervals) {
    store.SetEndpointState(host, EndpointState::Open);
    faultLog_.End(interval, Now());
  }
  --active_[part];
}

auto FaultInjector::RestoreStore(Fault aFault) -> Task<void>
{
  constexpr auto kAway = 300ms;
  constexpr std::array kAges = { 500ms, 1500ms, 4000ms, 8000ms };
  auto& store = fleet_.Platform().Store();
  const auto busy = ToString(FaultKind::StoreBusy);
  const auto interval = faultLog_.Begin(kStorePart, Now());
  ++active_[busy];
  store.busy_ = true;
  co_await Sleep(context_, kAway);
  store.SetNotRestored(aFault.target_, true);
  store.Restore(kAges.at(aFault.variant_ % kAges.size()));
  if (--active_[busy] == 0) {
    store.busy_ = false;
  }
  co_await Sleep(context_, aFault.for_ / 2);
  store.SetNotRestored(aFault.target_, false);
  co_await Sleep(context_, aFault.for_ / 2);
  store.RewriteLost();
  faultLog_.End(interval, Now());
}

auto FaultInjector::LogEngineCrashes() -> void
{
  for (const auto& engine : fleet_.Engines()) {
    const auto& id = engine.standin_->Id();
    for (const auto& end : engine.standin_->Crashes()) {
      for (const auto& part : { EnginePart(id), BreakPart(id) }) {
        faultLog_.End(faultLog_.Begin(part, end.at_),
                      end.at_ + SoakFleet::kEngineDowntime);
      }
    }
  }
}

auto FaultInjector::ChangeConfig(const Fault& aFault) -> void
{
  constexpr std::array kIdleTimes = { 1s, 2s, 5s, 15s };
  ++operator_.version_;
  changes_.push_back(Now());
  if (aFault.kind_ == FaultKind::IdleTimeChanged) {
    idleTime_ = kIdleTimes.at(aFault.variant_ % kIdleTimes.size());
  } else if (aFault.kind_ == FaultKind::NewRoute) {
    operator_.route_ = "/new-" + std::to_string(++routes_) + "/";
    operator_.routeSince_ = Now();
  } else {
    operator_.oldKey_ = operator_.key_ == "key1" ? "" : operator_.key_;
    operator_.key_ = "key-of-" + std::to_string(++keys_);
    operator_.oldKeySince_ = Now();
    operator_.keySince_ = Now();
  }
  fleet_.Platform().PutConfig(operator_.version_, operator_.route_,
                              { "key1", operator_.key_ }, idleTime_);
}

} // namespace soak

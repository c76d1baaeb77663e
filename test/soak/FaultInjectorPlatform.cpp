#include "FaultInjector.h"

#include <array>

namespace soak {

using namespace goldcrestcroft;
using namespace std::chrono_literals;
using Trouble = standins::EngineStandin::Trouble;

namespace {

constexpr auto kLongestDrain = std::chrono::milliseconds{ 6000 };

/** What is wrong with a part and with the link to it end apart. */
auto LinkOf(const std::string& aPart) -> std::string
{
  return "link to " + aPart;
}

auto LinkFaultOf(const Fault& aFault) -> LinkFault
{
  constexpr std::array kFaults = {
    LinkFault::Delayed, LinkFault::Reset,     LinkFault::Held,
    LinkFault::Mute,    LinkFault::NoAnswers, LinkFault::NoRequests
  };
  return kFaults.at(aFault.variant_ % kFaults.size());
}

} // namespace

auto FaultInjector::HarmLink(LoopbackProxy& aLink, std::string aPart,
                             Fault aFault) -> Task<void>
{
  const auto harm = harm_.Begin(aPart, Now());
  const auto link = LinkOf(aPart);
  ++active_[link];
  aLink.Set(LinkFaultOf(aFault), aFault.for_ / 4);
  co_await Sleep(context_, aFault.for_);
  if (--active_[link] == 0) {
    aLink.Set(LinkFault::None);
  }
  harm_.End(harm, Now());
}

auto FaultInjector::HarmEngineLink(Fault aFault) -> Task<void>
{
  const auto id = fleet_.Engines()[aFault.target_].standin_->Id();
  const auto fault = LinkFaultOf(aFault);
  // Bytes that wait arrive in the end.
  const auto waits = fault == LinkFault::Delayed || fault == LinkFault::Held;
  const auto breaks = harm_.Begin(waits ? LinkOf(id) : BreakPart(id), Now());
  co_await HarmLink(fleet_.EngineLink(aFault.target_), EnginePart(id), aFault);
  harm_.End(breaks, Now());
}

auto FaultInjector::HarmEngine(Fault aFault) -> Task<void>
{
  constexpr std::array kTroubles = { Trouble::Drops, Trouble::Cuts,
                                     Trouble::Stray, Trouble::Full,
                                     Trouble::Fails, Trouble::Unsigned };
  constexpr auto kSlowest = 2000;
  auto& engine = *fleet_.Engines()[aFault.target_].standin_;
  const auto part = EnginePart(engine.Id());
  const auto harm = harm_.Begin(part, Now());
  const auto trouble = kTroubles.at(aFault.variant_ % kTroubles.size());
  const auto breaks = aFault.kind_ == FaultKind::EngineTrouble &&
                      (trouble == Trouble::Drops || trouble == Trouble::Cuts);
  const auto breaking =
    breaks ? harm_.Begin(BreakPart(engine.Id()), Now()) : harm;
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
  harm_.End(breaking, Now());
  harm_.End(harm, Now());
}

auto FaultInjector::RestartEngine(Fault aFault) -> Task<void>
{
  auto& engine = fleet_.Engines()[aFault.target_];
  const auto part = EnginePart(engine.standin_->Id());
  const auto harm = harm_.Begin(part, Now());
  const auto breaks = harm_.Begin(BreakPart(engine.standin_->Id()), Now());
  const auto link = LinkOf(part);
  ++active_[link];
  fleet_.EngineLink(aFault.target_).Set(LinkFault::Reset);
  co_await Sleep(context_, aFault.for_);
  if (--active_[link] == 0) {
    fleet_.EngineLink(aFault.target_).Set(LinkFault::None);
  }
  engine.standin_->Restart();
  fleet_.Platform().Store().Put(
    "servers", engine.standin_->Id(),
    engine.standin_->Entry(engine.service_,
                           engine.draining_ ? "draining" : "ready"));
  harm_.End(harm, Now());
  harm_.End(breaks, Now());
}

auto FaultInjector::Drain(Fault aFault) -> Task<void>
{
  auto& engine = fleet_.Engines()[aFault.target_];
  for (const auto& other : fleet_.Engines()) {
    if (other.service_ == engine.service_ && other.draining_) {
      co_return; // The service would be left with too few.
    }
  }
  auto& store = fleet_.Platform().Store();
  const auto& id = engine.standin_->Id();
  engine.draining_ = true;
  store.Put("servers", id, engine.standin_->Entry(engine.service_, "draining"));
  const auto drain = drains_.size();
  drains_.push_back({ .engine_ = id, .from_ = Now() });
  co_await Sleep(context_, kLongestDrain);
  engine.draining_ = false;
  drains_[drain].to_ = Now();
  store.Put("servers", id, engine.standin_->Entry(engine.service_, "ready"));
}

auto FaultInjector::Limit(Fault aFault) -> Task<void>
{
  // Longer than hosts have until the limit holds, and a window of the rule.
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

auto FaultInjector::HarmStore(Fault aFault) -> Task<void>
{
  auto& store = fleet_.Platform().Store();
  auto& flag = aFault.kind_ == FaultKind::StoreBusy      ? store.busy_
               : aFault.kind_ == FaultKind::StoreForgets ? store.forgets_
                                                         : store.losesAnswers_;
  const auto name = ToString(aFault.kind_);
  const auto harm = harm_.Begin(kStorePart, Now());
  ++active_[name];
  flag = true;
  co_await Sleep(context_, aFault.for_);
  if (--active_[name] == 0) {
    flag = false;
  }
  harm_.End(harm, Now());
}

auto FaultInjector::TurnAway(Fault aFault) -> Task<void>
{
  using Door = standins::StoreStandin::Door;
  constexpr std::array kDoors = { Door::Busy, Door::TooMany, Door::Silent };
  // A change at its begin is in force long before its end.
  constexpr auto kLength = 6s;
  constexpr std::size_t kServedInAll = 8;
  auto& store = fleet_.Platform().Store();
  const auto part = ToString(aFault.kind_);
  if (active_[part]++ > 0) {
    --active_[part];
    co_return;
  }
  const auto hosts = fleet_.Hosts().size();
  std::map<std::size_t, std::size_t> harms;
  for (std::size_t i = 0; i < hosts; ++i) {
    // One in eight is served, and one at least.
    const auto place = (i + hosts - aFault.target_) % hosts;
    if (place % kServedInAll != 0) {
      store.SetDoor(i, kDoors.at(aFault.variant_ % kDoors.size()));
      harms[i] = harm_.Begin(StoreDoorPart(i), Now());
    }
  }
  ChangeConfig({ .kind_ = FaultKind::KeyRevoked });
  co_await Sleep(context_, kLength);
  for (const auto& [host, harm] : harms) {
    store.SetDoor(host, Door::Open);
    harm_.End(harm, Now());
  }
  --active_[part];
}

auto FaultInjector::NoteEnds() -> void
{
  for (const auto& engine : fleet_.Engines()) {
    const auto& id = engine.standin_->Id();
    for (const auto& end : engine.standin_->Ends()) {
      for (const auto& part : { EnginePart(id), BreakPart(id) }) {
        harm_.End(harm_.Begin(part, end.at_), end.at_ + SoakFleet::kEngineAway);
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

#include "FaultInjector.h"

#include <array>

namespace soak {

using namespace goldcrestcroft;

auto FaultInjector::InterruptPlatform(Fault aFault) -> Task<void>
{
  const auto stands = aFault.kind_ == FaultKind::PlatformStands;
  std::vector<std::size_t> intervals{ faultLog_.Begin(kStorePart, Now()) };
  std::map<std::string, LoopbackProxy*> links;
  for (std::size_t i = 0; i < fleet_.Hosts().size(); ++i) {
    links[LinkOf(StoreLinkPart(i))] = &fleet_.StoreLink(i);
  }
  for (std::size_t i = 0; i < fleet_.Engines().size(); ++i) {
    const auto id = fleet_.Engines()[i].standin_->Id();
    links[LinkOf(EnginePart(id))] = &fleet_.EngineLink(i);
    intervals.push_back(faultLog_.Begin(EnginePart(id), Now()));
    // Bytes that are held back still arrive, so they abort no request.
    if (!stands) {
      intervals.push_back(faultLog_.Begin(BreakPart(id), Now()));
    }
  }
  for (const auto& [name, link] : links) {
    ++active_[name];
    link->SetFault(stands ? LinkFault::Paused : LinkFault::Reset);
  }
  co_await Sleep(context_, aFault.for_);
  for (const auto& [name, link] : links) {
    if (--active_[name] == 0) {
      link->SetFault(LinkFault::None);
    }
  }
  const auto end = Now();
  for (const auto interval : intervals) {
    faultLog_.End(interval, end);
  }
  outages_.push_back({ .kind_ = ToString(aFault.kind_), .endedAt_ = end });
}

auto FaultInjector::RestartAllHosts(Fault aFault) -> Task<void>
{
  std::map<std::size_t, std::size_t> intervals;
  for (std::size_t i = 0; i < fleet_.Hosts().size(); ++i) {
    auto& host = fleet_.Hosts()[i];
    if (!host.down_) {
      host.down_ = true;
      intervals[i] = faultLog_.Begin(HostPart(i), Now());
      host.process_.Kill();
    }
  }
  co_await Sleep(context_, aFault.for_);
  for (const auto& [host, interval] : intervals) {
    fleet_.Start(host);
  }
  const auto end = Now();
  for (const auto& [host, interval] : intervals) {
    faultLog_.End(interval, end);
  }
  outages_.push_back({ .kind_ = ToString(aFault.kind_), .endedAt_ = end });
}

auto FaultInjector::LoseHostsInOutage(Fault aFault) -> Task<void>
{
  constexpr std::array kForms = { LinkFault::Paused, LinkFault::Reset,
                                  LinkFault::NoResponses };
  constexpr std::size_t kMoments = 8;
  constexpr std::size_t kDowntimes = 4;
  constexpr Millis kDowntime{ 500 };
  auto variant = aFault.variant_;
  const auto draw = [&variant](std::size_t aCount) {
    const auto drawn = variant % aCount;
    variant /= aCount;
    return drawn;
  };
  const auto form = kForms.at(draw(kForms.size()));
  const auto killsAll = draw(2) == 0;
  const auto killAfter =
    aFault.for_ * static_cast<Millis::rep>(draw(kMoments)) / kMoments;
  const auto downFor =
    kDowntime * static_cast<Millis::rep>(1 + aFault.target_ % kDowntimes);
  std::vector<std::size_t> intervals;
  for (std::size_t i = 0; i < fleet_.Hosts().size(); ++i) {
    intervals.push_back(faultLog_.Begin(StoreLinkPart(i), Now()));
    ++active_[LinkOf(StoreLinkPart(i))];
    fleet_.StoreLink(i).SetFault(form);
  }
  co_await Sleep(context_, killAfter);
  for (std::size_t i = 0; i < fleet_.Hosts().size(); ++i) {
    if (killsAll || (i + aFault.target_) % 2 == 0) {
      Spawn({ .for_ = downFor, .kind_ = FaultKind::HostKill, .target_ = i });
    }
  }
  co_await Sleep(context_, aFault.for_ - killAfter);
  for (std::size_t i = 0; i < fleet_.Hosts().size(); ++i) {
    if (--active_[LinkOf(StoreLinkPart(i))] == 0) {
      fleet_.StoreLink(i).SetFault(LinkFault::None);
    }
    faultLog_.End(intervals[i], Now());
  }
}

} // namespace soak

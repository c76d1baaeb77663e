#include "LimitWorld.h"

#include <algorithm>

namespace testing {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

namespace {

const EngineIncarnation kEngine{ "e", 5 };
constexpr std::size_t kLossPerMille = 15;
/** The same values as in ControlPlaneLimits. */
constexpr auto kOwnerTimeout = milliseconds{ 150 };
constexpr auto kUnansweredDelay = milliseconds{ 500 };
constexpr std::size_t kLimitsPerDatagram = 4;

} // namespace

LimitWorld::LimitWorld(Options aOptions)
  : VirtualWorld(aOptions.seed_)
  , options_(aOptions)
  , begin_(clock_.Now())
  , end_(begin_ + aOptions.duration_)
  , hosts_(aOptions.hosts_)
{
}

auto LimitWorld::NameOf(std::size_t aHost) const -> std::string
{
  return std::to_string(aHost) + "|" +
         std::to_string(hosts_[aHost].incarnation_);
}

auto LimitWorld::HostNamed(const std::string& aName) const
  -> std::optional<std::size_t>
{
  const auto host = std::stoul(aName);
  return hosts_[host].runs_ && NameOf(host) == aName ? std::optional(host)
                                                     : std::nullopt;
}

auto LimitWorld::Play() -> Outcome
{
  PublishHosts();
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    After(Between(0, 100), [this, i] { Tick(i, 0); });
  }
  Arrive();
  if (options_.faults_) {
    After(milliseconds{ 5000 }, [this] { InjectFault(); });
  }
  RunUntil(end_);
  Evaluate();
  return outcome_;
}

auto LimitWorld::PickHost() -> std::size_t
{
  constexpr std::size_t kOneInTwo = 2;
  return options_.unevenDemand_ && Random(kOneInTwo) == 0
           ? 0
           : Random(hosts_.size());
}

auto LimitWorld::Engine() const -> EngineIncarnation
{
  const auto starts =
    options_.warmUp_ ? (clock_.Now() - begin_) / *options_.warmUp_ : 0;
  return { kEngine.first, kEngine.second + static_cast<std::uint64_t>(starts) };
}

auto LimitWorld::Arrive() -> void
{
  const auto host = PickHost();
  if (hosts_[host].runs_ && clock_.Now() >= hosts_[host].stalledUntil_) {
    ++outcome_.wanted_;
    OnCallerRequest(host);
  }
  const auto gap = std::exponential_distribution(options_.wanted_)(random_);
  After(
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)),
    [this] { Arrive(); });
}

auto LimitWorld::OnCallerRequest(std::size_t aHost) -> void
{
  auto& host = hosts_[aHost];
  const auto update = host.table_.Find(kEngine);
  if (!update && !options_.warmUp_) {
    Send(aHost, false);
  } else if (host.askAgainAt_ <= clock_.Now()) {
    RequestPermit(aHost, 0);
  }
}

auto LimitWorld::RequestPermit(std::size_t aHost, std::size_t aOwner) -> void
{
  auto& host = hosts_[aHost];
  const auto owners = host.issuer_.Owners(Engine());
  if (aOwner >= owners.size()) {
    host.askAgainAt_ = clock_.Now() + kUnansweredDelay;
    return;
  }
  const auto owner = HostNamed(owners[aOwner]);
  if (owner == aHost) {
    OnPermit(aHost, Issue(aHost));
    return;
  }
  const auto answered = std::make_shared<bool>(false);
  if (owner) {
    Deliver(*owner, [this, aHost, owner = *owner, answered] {
      const auto permit = Issue(owner);
      Deliver(aHost, [this, aHost, permit, answered] {
        if (!std::exchange(*answered, true)) {
          OnPermit(aHost, permit);
        }
      });
    });
  }
  After(kOwnerTimeout, [this, aHost, aOwner, answered] {
    if (!std::exchange(*answered, true)) {
      RequestPermit(aHost, aOwner + 1);
    }
  });
}

auto LimitWorld::ReceiveLimit(std::size_t aHost) -> void
{
  hosts_[aHost].table_.Merge({ .engine_ = kEngine.first,
                               .startedAt_ = kEngine.second,
                               .perSecond_ = options_.limit_,
                               .statedAt_ = clock_.Now() },
                             clock_.Now());
}

auto LimitWorld::Issue(std::size_t aOwner) -> Permit
{
  ReceiveLimit(aOwner);
  return hosts_[aOwner].issuer_.Take(Engine(), options_.limit_, {},
                                     clock_.Now());
}

auto LimitWorld::OnPermit(std::size_t aHost, Permit aPermit) -> void
{
  if (aPermit.granted_) {
    Send(aHost, true);
  } else {
    hosts_[aHost].askAgainAt_ = clock_.Now() + aPermit.wait_;
  }
}

auto LimitWorld::Send(std::size_t aHost, bool aPermitted) -> void
{
  // Establishing a new connection takes time.
  After(Between(1, aPermitted ? 200 : 20), [this, aHost] {
    auto& host = hosts_[aHost];
    if (!host.runs_) {
      return;
    }
    const auto now = clock_.Now();
    const auto informed =
      host.informedAt_ && now - *host.informedAt_ >= milliseconds{ 500 };
    const auto undisturbed =
      host.disturbedAt_ == TimePoint{} || now - host.disturbedAt_ >= kContact;
    ++outcome_.sent_;
    arrivals_.push_back({ now, aHost, informed && undisturbed });
    After(Between(20, 400), [this, aHost, incarnation = host.incarnation_] {
      auto& sender = hosts_[aHost];
      if (!sender.runs_ || sender.incarnation_ != incarnation) {
        return;
      }
      sender.informedAt_ = sender.informedAt_.value_or(clock_.Now());
      ReceiveLimit(aHost);
    });
  });
}

auto LimitWorld::Deliver(std::size_t aTo, std::function<void()> aAct) -> bool
{
  ++outcome_.datagrams_;
  if (Random(1000) < kLossPerMille) {
    return false;
  }
  const auto incarnation = hosts_[aTo].incarnation_;
  const auto stallLeft = hosts_[aTo].stalledUntil_ - clock_.Now();
  After(std::max<Duration>(stallLeft, {}) + Between(1, 30),
        [this, aTo, incarnation, act = std::move(aAct)] {
          if (hosts_[aTo].runs_ && hosts_[aTo].incarnation_ == incarnation) {
            act();
          }
        });
  return true;
}

auto LimitWorld::Tick(std::size_t aHost, std::uint64_t aIncarnation) -> void
{
  auto& host = hosts_[aHost];
  if (!host.runs_ || host.incarnation_ != aIncarnation) {
    return;
  }
  if (clock_.Now() >= host.stalledUntil_ && hosts_.size() > 1) {
    const auto updates = host.table_.TakeUpdates(kLimitsPerDatagram);
    const auto to = (aHost + 1 + Random(hosts_.size() - 1)) % hosts_.size();
    if (!updates.empty()) {
      Deliver(to, [this, to, updates] {
        for (const auto& update : updates) {
          hosts_[to].table_.Merge(update, clock_.Now());
        }
        NoteIfAllInformed();
      });
    }
  }
  After(milliseconds{ 100 },
        [this, aHost, aIncarnation] { Tick(aHost, aIncarnation); });
}

auto LimitWorld::NoteIfAllInformed() -> void
{
  const auto informed = [](const Host& aHost) {
    return aHost.table_.Find(kEngine).has_value();
  };
  if (outcome_.allInformedAfter_ == Duration{} &&
      std::all_of(hosts_.begin(), hosts_.end(), informed)) {
    outcome_.allInformedAfter_ = clock_.Now() - begin_;
  }
}

auto LimitWorld::PublishHosts() -> void
{
  std::vector<std::string> names;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].runs_) {
      names.push_back(NameOf(i));
    }
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    // Hosts learn of the change at different times.
    After(Between(0, 1000),
          [this, i, names, incarnation = hosts_[i].incarnation_] {
            if (hosts_[i].runs_ && hosts_[i].incarnation_ == incarnation) {
              hosts_[i].issuer_.SetHosts(names, NameOf(i), clock_.Now());
            }
          });
  }
}

auto LimitWorld::InjectFault() -> void
{
  // Disturbs the host that owns the rate every other time.
  const auto owners = hosts_[Random(hosts_.size())].issuer_.Owners(Engine());
  auto victim = Random(hosts_.size());
  if (!owners.empty() && Random(2) == 0) {
    victim = HostNamed(owners.front()).value_or(victim);
  }
  auto& host = hosts_[victim];
  host.disturbedAt_ = clock_.Now();
  if (Random(3) == 0) {
    const auto pause = Between(500, 4000);
    host.stalledUntil_ = clock_.Now() + pause;
    After(pause, [this, victim] {
      hosts_[victim].disturbedAt_ = clock_.Now();
      hosts_[victim].issuer_.OnProcessPaused(clock_.Now());
    });
  } else if (host.runs_) {
    host.runs_ = false;
    // The failure is detected, and other hosts take over.
    After(milliseconds{ 1800 }, [this] { PublishHosts(); });
    After(Between(500, 3000), [this, victim] {
      auto& started = hosts_[victim];
      started = Host{ .incarnation_ = started.incarnation_ + 1,
                      .disturbedAt_ = clock_.Now() };
      Tick(victim, started.incarnation_);
      After(milliseconds{ 300 }, [this] { PublishHosts(); });
    });
  }
  After(Between(2000, 5000), [this] { InjectFault(); });
}

} // namespace testing

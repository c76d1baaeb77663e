#include "PoolLoad.h"

#include <tuple>

namespace goldcrestcroft {

namespace {

constexpr double kRounding = 1e-6;

} // namespace

PoolLoad::PoolLoad(const Pool& aPool)
  : service_({ .initial_ = aPool.expected_ })
{
}

auto PoolLoad::SetWeight(const WorkspaceId& aWorkspace, double aWeight) -> void
{
  workspaces_[aWorkspace].weight_ = aWeight;
}

auto PoolLoad::Push(Work aWork) -> void
{
  const auto cost = service_.Estimate(aWork.size_);
  auto& load = workspaces_[aWork.workspace_];
  load.queue_.Push(std::move(aWork), cost);
  ++waiting_;
}

auto PoolLoad::RemoveAny(const AttemptId& aId) -> bool
{
  for (auto& [id, load] : workspaces_) {
    if (load.queue_.Remove(aId)) {
      --waiting_;
      return true;
    }
  }
  return false;
}

auto PoolLoad::Start(const WorkspaceId& aWorkspace) -> Work
{
  auto& load = workspaces_.at(aWorkspace);
  ++load.inFlight_;
  ++inFlight_;
  --waiting_;
  return load.queue_.Pop();
}

auto PoolLoad::StartExtra(const WorkspaceId& aWorkspace) -> void
{
  ++workspaces_[aWorkspace].inFlight_;
  ++inFlight_;
}

auto PoolLoad::Finish(const WorkspaceId& aWorkspace) -> void
{
  --workspaces_.at(aWorkspace).inFlight_;
  --inFlight_;
}

auto PoolLoad::SetPeer(const HostId& aHost,
                       const std::vector<WorkspaceDemand>& aDemands) -> void
{
  auto& peer = peers_[aHost];
  peer.clear();
  for (const auto& demand : aDemands) {
    peer[demand.workspace_] =
      static_cast<double>(demand.inFlight_ + demand.queued_);
  }
}

auto PoolLoad::PeerDemand(const WorkspaceId& aWorkspace) const -> double
{
  auto sum = 0.0;
  for (const auto& [host, demands] : peers_) {
    const auto found = demands.find(aWorkspace);
    sum += found == demands.end() ? 0.0 : found->second;
  }
  return sum;
}

auto PoolLoad::UpdateShares(double aRounding) -> void
{
  // The fleet's slots are divided among workspaces first and each workspace's
  // part among entry hosts by what it asks there. Every host computes this from
  // the same numbers, so the parts add up to the pool without any agreement.
  std::map<WorkspaceId, double> fleet;
  for (const auto& [id, load] : workspaces_) {
    fleet[id] = Demand(load);
  }
  for (const auto& [host, demands] : peers_) {
    for (const auto& [id, demand] : demands) {
      fleet[id] += demand;
    }
  }
  std::vector<ShareClaim> claims;
  claims.reserve(fleet.size());
  for (const auto& [id, demand] : fleet) {
    const auto known = workspaces_.find(id);
    claims.push_back(
      { .demand_ = demand,
        .weight_ = known == workspaces_.end() ? 1.0 : known->second.weight_ });
  }
  const auto shares = FairShares(slots_, claims);
  // Parts of slots are of no use. Rounding all down would leave slots idle, all
  // up would overfill the servers. Rounding the running sum gives this host a
  // whole number next to its sum, and each workspace its part on average.
  auto sum = aRounding + kRounding;
  std::size_t index = 0;
  for (const auto& [id, demand] : fleet) {
    const auto share = shares[index++];
    const auto known = workspaces_.find(id);
    if (known != workspaces_.end()) {
      auto& load = known->second;
      load.share_ = demand > 0.0 ? share * Demand(load) / demand : 0.0;
      load.whole_ =
        static_cast<unsigned>(sum + load.share_) - static_cast<unsigned>(sum);
      sum += load.share_;
    }
  }
}

auto PoolLoad::IsEntitled(const WorkspaceId& aWorkspace) const -> bool
{
  const auto& load = workspaces_.at(aWorkspace);
  return load.inFlight_ < load.whole_;
}

auto PoolLoad::Pick(bool aPoolHasRoom) const -> const WorkspaceId*
{
  using Rank = std::tuple<bool, Priority, double, TimePoint>;
  const WorkspaceId* choice = nullptr;
  Rank best;
  for (const auto& [id, load] : workspaces_) {
    if (load.queue_.empty()) {
      continue;
    }
    const auto entitled = IsEntitled(id);
    if (!entitled && !aPoolHasRoom) {
      continue;
    }
    const auto& head = load.queue_.Head();
    const auto used = load.inFlight_ / std::max(load.share_, LeastShare(load));
    const Rank rank{ !entitled, head.priority_, used, head.deadline_ };
    if (choice == nullptr || rank < best) {
      choice = &id;
      best = rank;
    }
  }
  return choice;
}

auto PoolLoad::LeastShare(const WorkspaceLoad& aLoad) const -> double
{
  auto weights = 0.0;
  for (const auto& [id, load] : workspaces_) {
    if (Demand(load) > 0.0 || &load == &aLoad || PeerDemand(id) > 0.0) {
      weights += load.weight_;
    }
  }
  const auto hosts = 1.0 + static_cast<double>(peers_.size());
  return std::max(1e-3, slots_ * aLoad.weight_ / weights / hosts);
}

auto PoolLoad::Wait(const WorkspaceId& aWorkspace, Priority aPriority,
                    bool aPoolHasRoom) const -> Duration
{
  const auto found = workspaces_.find(aWorkspace);
  if (found == workspaces_.end() || (aPoolHasRoom && waiting_ == 0)) {
    return Duration{ 0 };
  }
  const auto& load = found->second;
  const auto ahead = load.queue_.CostAhead(aPriority) + service_.Mean();
  const auto slots = std::max(
    { load.share_, static_cast<double>(load.inFlight_), LeastShare(load) });
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(ahead.count()) / std::max(slots, 0.1)));
}

auto PoolLoad::Demands(const PoolId& aPool) const
  -> std::vector<WorkspaceDemand>
{
  std::vector<WorkspaceDemand> demands;
  for (const auto& [id, load] : workspaces_) {
    if (Demand(load) > 0.0) {
      demands.push_back(
        { .pool_ = aPool,
          .workspace_ = id,
          .inFlight_ = load.inFlight_,
          .queued_ = static_cast<unsigned>(load.queue_.size()) });
    }
  }
  return demands;
}

} // namespace goldcrestcroft

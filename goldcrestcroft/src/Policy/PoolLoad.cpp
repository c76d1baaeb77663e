#include "PoolLoad.h"

#include <tuple>

namespace goldcrestcroft {

namespace {

constexpr double kTolerance = 1e-6;

} // namespace

PoolLoad::PoolLoad(const Pool& aPool)
  : service_({ .initial_ = aPool.expected_ })
{
}

auto PoolLoad::SetWeight(const WorkspaceId& aWorkspace, double aWeight) -> void
{
  workspaces_[aWorkspace].weight_ = aWeight;
}

auto PoolLoad::Push(WorkItem aWork) -> void
{
  const auto cost = service_.Estimate(aWork.size_);
  auto& load = workspaces_[aWork.workspace_];
  load.queue_.Push(std::move(aWork), cost);
  ++waiting_;
}

auto PoolLoad::RemoveQueued(const AttemptId& aId) -> bool
{
  for (auto& [id, load] : workspaces_) {
    if (load.queue_.Remove(aId)) {
      --waiting_;
      return true;
    }
  }
  return false;
}

auto PoolLoad::Start(const WorkspaceId& aWorkspace) -> WorkItem
{
  auto& load = workspaces_.at(aWorkspace);
  ++load.inFlight_;
  ++inFlight_;
  --waiting_;
  return load.queue_.Pop();
}

auto PoolLoad::StartUnqueued(const WorkspaceId& aWorkspace) -> void
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
  // The slots are divided among workspaces, and each workspace's share among
  // entry hosts in proportion to its demand there. All hosts compute this from
  // the same numbers, so the shares add up to the pool without coordination.
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
  // Only whole slots can be used. Rounding every share down would leave slots
  // idle, and rounding up would overfill the servers. Rounding the running sum
  // keeps this host's total within one slot of the exact sum and gives each
  // workspace its exact share on average.
  auto sum = aRounding + kTolerance;
  std::size_t index = 0;
  for (const auto& [id, demand] : fleet) {
    const auto share = shares[index++];
    const auto known = workspaces_.find(id);
    if (known != workspaces_.end()) {
      auto& load = known->second;
      load.share_ = demand > 0.0 ? share * Demand(load) / demand : 0.0;
      load.wholeShare_ =
        static_cast<unsigned>(sum + load.share_) - static_cast<unsigned>(sum);
      sum += load.share_;
    }
  }
}

auto PoolLoad::IsEntitled(const WorkspaceId& aWorkspace) const -> bool
{
  const auto& load = workspaces_.at(aWorkspace);
  return load.inFlight_ < load.wholeShare_;
}

auto PoolLoad::Pick(bool aPoolHasCapacity) const -> const WorkspaceId*
{
  using Rank = std::tuple<bool, Priority, double, TimePoint>;
  const WorkspaceId* choice = nullptr;
  Rank best;
  for (const auto& [id, load] : workspaces_) {
    if (load.queue_.empty()) {
      continue;
    }
    const auto entitled = IsEntitled(id);
    if (!entitled && !aPoolHasCapacity) {
      continue;
    }
    const auto& head = load.queue_.Head();
    const auto used = load.inFlight_ / std::max(load.share_, MinShare(load));
    const Rank rank{ !entitled, head.priority_, used, head.deadline_ };
    if (choice == nullptr || rank < best) {
      choice = &id;
      best = rank;
    }
  }
  return choice;
}

auto PoolLoad::MinShare(const WorkspaceLoad& aLoad) const -> double
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
                    bool aPoolHasCapacity) const -> Duration
{
  const auto found = workspaces_.find(aWorkspace);
  if (found == workspaces_.end() || (aPoolHasCapacity && waiting_ == 0)) {
    return Duration{ 0 };
  }
  const auto& load = found->second;
  const auto ahead = load.queue_.CostAhead(aPriority) + service_.Mean();
  const auto slots = std::max(
    { load.share_, static_cast<double>(load.inFlight_), MinShare(load) });
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

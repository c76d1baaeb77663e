#pragma once

#include "Dispatcher.h"

namespace goldcrestcroft {

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::Adopt(const Configuration& aConfiguration) -> void
{
  for (auto& [id, pool] : pools_) {
    pool.servers_.clear();
    pool.lenders_.clear();
    pool.load_.SetSlots(0.0);
  }
  for (const auto& pool : aConfiguration.Pools()) {
    auto& state = pools_
                    .try_emplace(pool.id_, PoolState{ .pool_ = pool,
                                                      .load_ = PoolLoad(pool) })
                    .first->second;
    state.pool_ = pool;
    auto slots = 0.0;
    for (const auto& server : pool.servers_) {
      servers_[server.id_].server_ = server;
      state.servers_.push_back(server.id_);
      slots += server.slots_;
    }
    state.load_.SetSlots(slots);
    for (const auto& workspace : aConfiguration.Workspaces()) {
      state.load_.SetWeight(workspace.id_, workspace.weight_);
    }
  }
  for (const auto& pool : aConfiguration.Pools()) {
    for (const auto& borrower : pool.lendsTo_) {
      pools_.at(borrower).lenders_.push_back(pool.id_);
    }
  }
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::ServiceTime(
  const std::vector<StageForecast>& aStages) const -> Duration
{
  Duration sum{ 0 };
  for (const auto& stage : aStages) {
    const auto& service = pools_.at(stage.pool_).load_.Service();
    sum += stage.size_ ? service.Estimate(*stage.size_) : service.Mean();
  }
  return sum;
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::Admit(const std::vector<StageForecast>& aStages,
                                const WorkspaceId& aWorkspace,
                                Priority aPriority, TimePoint aDeadline,
                                TimePoint aNow) -> Admission
{
  constexpr Duration kMinRetryAfter = std::chrono::milliseconds{ 50 };
  if (!options_.admission_) {
    return {};
  }
  auto needed = ServiceTime(aStages);
  for (const auto& stage : aStages) {
    auto& pool = pools_.at(stage.pool_);
    RefreshShares(pool, aNow);
    needed += pool.load_.Wait(aWorkspace, aPriority, HasCapacity(pool));
  }
  const auto forecast = Duration(
    std::llround(static_cast<double>(needed.count()) * options_.margin_));
  if (aNow + forecast <= aDeadline) {
    return {};
  }
  return { .admitted_ = false,
           .retryAfter_ =
             std::max(kMinRetryAfter, aNow + forecast - aDeadline) };
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::Submit(WorkItem aWork) -> bool
{
  const auto found = pools_.find(aWork.pool_);
  if (found == pools_.end()) {
    return false;
  }
  found->second.load_.Push(std::move(aWork));
  return true;
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::TakeInfeasible(TimePoint aNow)
  -> std::vector<WorkItem>
{
  std::vector<WorkItem> refused;
  if (!options_.admission_) {
    return refused;
  }
  for (auto& [id, pool] : pools_) {
    const auto& service = pool.load_.Service();
    pool.load_.RemoveInfeasible(
      [&](const WorkItem& aWork) {
        return aNow + service.Estimate(aWork.size_) + aWork.reserve_ >
               aWork.deadline_;
      },
      [&](WorkItem aWork) { refused.push_back(std::move(aWork)); });
  }
  return refused;
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::Release(const AttemptId& aId)
  -> std::optional<Started>
{
  const auto found = inFlight_.find(aId);
  if (found == inFlight_.end()) {
    return std::nullopt;
  }
  auto started = std::move(found->second);
  inFlight_.erase(found);
  auto& server = servers_.at(started.server_);
  --(started.borrowed_ ? server.local_.borrowed_ : server.local_.own_);
  pools_.at(started.work_.pool_).load_.Finish(started.work_.workspace_);
  return started;
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::Cancel(const AttemptId& aId, TimePoint aNow) -> void
{
  if (inFlight_.contains(aId)) {
    OnFinish(aId, Finish::Abandoned, aNow);
    return;
  }
  for (auto& [id, pool] : pools_) {
    if (pool.load_.RemoveQueued(aId)) {
      return;
    }
  }
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::OnFinish(const AttemptId& aId, Finish aOutcome,
                                   TimePoint aNow) -> void
{
  const auto started = Release(aId);
  if (!started) {
    return;
  }
  const auto took = aNow - started->since_;
  auto& service = pools_.at(started->work_.pool_).load_.Service();
  const auto expected =
    std::max(service.Estimate(started->work_.size_), Duration{ 1 });
  const auto slowness =
    static_cast<double>(took.count()) / static_cast<double>(expected.count());
  // An attempt that did not complete gives only a lower bound of the slowness.
  if (aOutcome == Finish::Completed || slowness > 1.0) {
    stragglers_.Observe(started->server_, slowness);
  }
  // Durations at an ejected server are not representative of the pool.
  if (aOutcome == Finish::Completed &&
      !stragglers_.IsEjected(started->server_)) {
    service.Observe(started->work_.size_, took);
  }
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::Tick(TimePoint aNow) -> void
{
  if (!options_.ejection_) {
    return;
  }
  for (auto& [id, started] : inFlight_) {
    const auto expected = std::max(
      ExpectedService(started.work_.pool_, started.work_.size_), Duration{ 1 });
    const auto slowness = static_cast<double>((aNow - started.since_).count()) /
                          static_cast<double>(expected.count());
    if (!started.overdue_ && slowness > options_.stragglers_.ejectFactor_) {
      started.overdue_ = true;
      stragglers_.Observe(started.server_, slowness);
    }
  }
  for (const auto& [id, pool] : pools_) {
    stragglers_.Reevaluate(pool.servers_);
  }
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::OnReport(const ServerId& aServer, double aInFlight)
  -> void
{
  const auto found = servers_.find(aServer);
  if (found != servers_.end()) {
    found->second.reported_ = aInFlight;
  }
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::SetClosed(const ServerId& aServer, bool aClosed)
  -> void
{
  const auto found = servers_.find(aServer);
  if (found != servers_.end()) {
    found->second.closed_ = aClosed;
  }
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::OnPeerLoad(const HostLoad& aLoad, TimePoint aNow)
  -> void
{
  peerReportTimes_[aLoad.host_] = aNow;
  for (auto& [id, server] : servers_) {
    server.SetPeer(aLoad.host_, {});
  }
  for (const auto& count : aLoad.servers_) {
    const auto found = servers_.find(count.server_);
    if (found != servers_.end()) {
      found->second.SetPeer(aLoad.host_, count);
    }
  }
  std::map<PoolId, std::vector<WorkspaceDemand>> demands;
  for (const auto& demand : aLoad.demands_) {
    demands[demand.pool_].push_back(demand);
  }
  for (auto& [id, pool] : pools_) {
    pool.load_.SetPeer(aLoad.host_, demands[id]);
  }
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::OnPeerGone(const HostId& aHost) -> void
{
  peerReportTimes_.erase(aHost);
  for (auto& [id, server] : servers_) {
    server.ForgetPeer(aHost);
  }
  for (auto& [id, pool] : pools_) {
    pool.load_.ForgetPeer(aHost);
  }
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::ExportLoad() const -> HostLoad
{
  HostLoad load{ .host_ = options_.host_ };
  for (const auto& [id, server] : servers_) {
    if (server.local_.own_ + server.local_.borrowed_ > 0) {
      load.servers_.push_back(server.local_);
      load.servers_.back().server_ = id;
    }
  }
  for (const auto& [id, pool] : pools_) {
    auto demands = pool.load_.Demands(id);
    load.demands_.insert(load.demands_.end(), demands.begin(), demands.end());
  }
  return load;
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::Waiting() const -> std::size_t
{
  std::size_t sum = 0;
  for (const auto& [id, pool] : pools_) {
    sum += pool.load_.Waiting();
  }
  return sum;
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::ExpectedService(const PoolId& aPool,
                                          double aSize) const -> Duration
{
  return pools_.at(aPool).load_.Service().Estimate(aSize);
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::OpenServers(const PoolId& aPool) const
  -> std::vector<ServerId>
{
  std::vector<ServerId> open;
  for (const auto& id : pools_.at(aPool).servers_) {
    if (!servers_.at(id).closed_) {
      open.push_back(id);
    }
  }
  std::sort(open.begin(), open.end(),
            [this](const auto& aLeft, const auto& aRight) {
              return RequestsAt(aLeft) < RequestsAt(aRight);
            });
  return open;
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::RequestsAt(const ServerId& aServer) const -> double
{
  const auto found = servers_.find(aServer);
  return found == servers_.end() ? 0.0 : found->second.Estimated();
}

} // namespace goldcrestcroft

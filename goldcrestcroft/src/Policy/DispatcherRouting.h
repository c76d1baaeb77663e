#pragma once

#include "Dispatcher.h"

namespace goldcrestcroft {

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::RefreshShares(PoolState& aPool, TimePoint aNow)
  -> void
{
  if (aNow - aPool.sharesUpdatedAt_ >= options_.sharePeriod_) {
    if (aNow >= aPool.roundingUntil_) {
      // The offset is kept for about as long as a work item that it admits
      // runs. If it were drawn more often, the highest draw would prevail.
      aPool.rounding_ = UniformUnit(random_);
      aPool.roundingUntil_ = aNow + 2 * aPool.load_.Service().Mean();
    }
    aPool.load_.UpdateShares(aPool.rounding_);
    aPool.sharesUpdatedAt_ = aNow;
    RefreshPeerConfidence(aPool, aNow);
  }
}

// A peer's counts go stale: after about one service time, the requests that
// made one server differ from another have ended. The pool's total changes
// more slowly, so differences between servers decay and the mean is kept.
template<RoutingPolicy Routing>
auto Dispatcher<Routing>::RefreshPeerConfidence(PoolState& aPool,
                                                TimePoint aNow) -> void
{
  Duration age{ 0 };
  for (const auto& [host, reportedAt] : peerReportTimes_) {
    age += aNow - reportedAt;
  }
  const auto peers = std::max<std::size_t>(1, peerReportTimes_.size());
  const auto mean =
    static_cast<double>(age.count()) / static_cast<double>(peers);
  const auto service =
    std::max(1.0, static_cast<double>(aPool.load_.Service().Mean().count()));
  aPool.peerConfidence_ =
    std::exp2(-mean / (options_.peerLoadHalfLife_ * service));
  auto sum = 0.0;
  for (const auto& id : aPool.servers_) {
    sum += servers_.at(id).PeersForOwnPool();
  }
  aPool.meanPeerLoad_ =
    sum / static_cast<double>(std::max<std::size_t>(1, aPool.servers_.size()));
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::EstimatedLoad(const PoolState& aPool,
                                        const ServerLoad& aServer) const
  -> double
{
  const auto peers =
    aPool.meanPeerLoad_ +
    aPool.peerConfidence_ * (aServer.PeersForOwnPool() - aPool.meanPeerLoad_);
  return static_cast<double>(aServer.local_.own_) + peers;
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::HasCapacity(const PoolState& aPool) const -> bool
{
  return std::any_of(aPool.servers_.begin(), aPool.servers_.end(),
                     [this](const auto& aId) {
                       const auto& server = servers_.at(aId);
                       return !server.closed_ && !stragglers_.IsEjected(aId) &&
                              server.EstimatedForOwnPool() < server.Slots();
                     });
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::Next(TimePoint aNow) -> std::optional<Assignment>
{
  for (auto& [id, pool] : pools_) {
    if (!pool.load_.HasWaiting()) {
      continue;
    }
    if (auto assignment = NextOf(pool, aNow)) {
      return assignment;
    }
  }
  return std::nullopt;
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::NextOf(PoolState& aPool, TimePoint aNow)
  -> std::optional<Assignment>
{
  RefreshShares(aPool, aNow);
  const auto hasCapacity = !Routing::kQueuesAtHost || HasCapacity(aPool);
  // Lenders' capacity counts too; Route checks whether there is any.
  const auto* workspace = aPool.load_.Pick(
    hasCapacity || (options_.lending_ && !aPool.lenders_.empty()));
  if (workspace == nullptr) {
    return std::nullopt;
  }
  const auto entitled = aPool.load_.IsEntitled(*workspace);
  const auto& head = aPool.load_.HeadOf(*workspace);
  auto assignment = Route(aPool, head, entitled, aNow);
  if (!assignment) {
    return std::nullopt;
  }
  assignment->work_ = aPool.load_.Start(WorkspaceId(*workspace));
  return Start(std::move(*assignment), aNow);
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::Accepts(const PoolState& aPool,
                                  const ServerLoad& aServer,
                                  const WorkItem& aWork,
                                  Eligibility aEligibility) const -> bool
{
  if (aServer.closed_ || aServer.server_.id_ == aWork.avoid_) {
    return false;
  }
  if (options_.ejection_ && stragglers_.IsEjected(aServer.server_.id_)) {
    return false;
  }
  switch (aEligibility) {
    case Eligibility::FreeSlot:
      return EstimatedLoad(aPool, aServer) < aServer.Slots();
    case Eligibility::Overcommitted:
      return EstimatedLoad(aPool, aServer) <
             aServer.Slots() + options_.overcommit_;
    case Eligibility::Borrowed:
      return aServer.Estimated() + 1 <=
             aServer.Slots() * options_.maxLendingLoad_;
    case Eligibility::Any:
      break;
  }
  return true;
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::CollectCandidates(const PoolState& aPool,
                                            const WorkItem& aWork,
                                            Eligibility aEligibility) -> void
{
  candidates_.clear();
  for (const auto& id : aPool.servers_) {
    const auto& server = servers_.at(id);
    if (!Accepts(aPool, server, aWork, aEligibility)) {
      continue;
    }
    candidates_.push_back(
      { .server_ = &server.server_.id_,
        .slots_ = server.Slots(),
        .estimated_ = EstimatedLoad(aPool, server),
        .reported_ = server.reported_,
        .own_ =
          static_cast<double>(server.local_.own_ + server.local_.borrowed_),
        .slowness_ = stragglers_.Slowness(id),
        .sameZone_ =
          options_.zone_.Empty() || server.server_.zone_ == options_.zone_ });
  }
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::MarkAffine(std::uint64_t aAffinity) -> void
{
  // Rendezvous hashing gives all hosts the same homes for an affinity value
  // and reassigns few values when servers are added or removed.
  std::vector<std::pair<std::uint64_t, std::size_t>> weights;
  weights.reserve(candidates_.size());
  for (std::size_t i = 0; i < candidates_.size(); ++i) {
    weights.emplace_back(Fingerprint(candidates_[i].server_->value_, aAffinity),
                         i);
  }
  const auto homes = std::min(options_.affineServers_, weights.size());
  std::partial_sort(weights.begin(), weights.begin() + static_cast<long>(homes),
                    weights.end(), std::greater<>());
  for (std::size_t i = 0; i < homes; ++i) {
    candidates_[weights[i].second].affine_ = true;
  }
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::Probe(const PoolState& aPool, TimePoint aNow)
  -> const ServerId*
{
  for (const auto& id : aPool.servers_) {
    const auto& server = servers_.at(id);
    if (!server.closed_ && stragglers_.IsEjected(id) &&
        EstimatedLoad(aPool, server) < server.Slots() &&
        stragglers_.TryProbe(id, aNow)) {
      return &server.server_.id_;
    }
  }
  return nullptr;
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::Route(PoolState& aPool, const WorkItem& aWork,
                                bool aEntitled, TimePoint aNow)
  -> std::optional<Assignment>
{
  if (options_.ejection_) {
    if (const auto* probed = Probe(aPool, aNow)) {
      return Assignment{ .server_ = *probed };
    }
  }
  CollectCandidates(aPool, aWork,
                    Routing::kQueuesAtHost ? Eligibility::FreeSlot
                                           : Eligibility::Any);
  if (candidates_.empty() && Routing::kQueuesAtHost && aEntitled) {
    CollectCandidates(aPool, aWork, Eligibility::Overcommitted);
  }
  auto borrowed = false;
  if (candidates_.empty() && Routing::kQueuesAtHost && options_.lending_) {
    for (const auto& lender : aPool.lenders_) {
      const auto& pool = pools_.at(lender);
      if (!pool.load_.HasWaiting()) {
        CollectCandidates(pool, aWork, Eligibility::Borrowed);
        borrowed = !candidates_.empty();
      }
      if (borrowed) {
        break;
      }
    }
  }
  if (candidates_.empty()) {
    return std::nullopt;
  }
  if (aWork.affinity_ != 0 && Routing::kQueuesAtHost) {
    MarkAffine(aWork.affinity_);
  }
  const auto choice = routing_.Choose(candidates_, random_);
  return Assignment{ .server_ = *candidates_[choice].server_,
                     .borrowed_ = borrowed };
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::Start(Assignment aAssignment, TimePoint aNow)
  -> Assignment
{
  auto& server = servers_.at(aAssignment.server_);
  ++(aAssignment.borrowed_ ? server.local_.borrowed_ : server.local_.own_);
  inFlight_.emplace(aAssignment.work_.id_,
                    Started{ .work_ = aAssignment.work_,
                             .server_ = aAssignment.server_,
                             .borrowed_ = aAssignment.borrowed_,
                             .since_ = aNow });
  return aAssignment;
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::Hedge(const AttemptId& aOriginal, AttemptId aCopy,
                                TimePoint aNow) -> std::optional<Assignment>
{
  const auto found = inFlight_.find(aOriginal);
  if (found == inFlight_.end()) {
    return std::nullopt;
  }
  auto work = found->second.work_;
  work.id_ = std::move(aCopy);
  work.avoid_ = found->second.server_;
  auto& pool = pools_.at(work.pool_);
  CollectCandidates(pool, work, Eligibility::FreeSlot);
  if (candidates_.empty()) {
    return std::nullopt;
  }
  const auto choice = routing_.Choose(candidates_, random_);
  const auto server = *candidates_[choice].server_;
  return StartAt(std::move(work), server, aNow);
}

template<RoutingPolicy Routing>
auto Dispatcher<Routing>::StartAt(WorkItem aWork, const ServerId& aServer,
                                  TimePoint aNow) -> Assignment
{
  pools_.at(aWork.pool_).load_.StartUnqueued(aWork.workspace_);
  return Start({ .work_ = std::move(aWork), .server_ = aServer }, aNow);
}

} // namespace goldcrestcroft

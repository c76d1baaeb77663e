#pragma once

#include "FairShares.h"
#include "HostLoad.h"
#include "LinearEstimator.h"
#include "WorkQueue.h"

#include <map>
#include <string>

namespace goldcrestcroft {

/** \brief Queued work items of one pool at one entry host, and the share of the
 * pool that each workspace may use through this host. */
class PoolLoad
{
public:
  explicit PoolLoad(const Pool& aPool);

  /** \brief Applies a changed configuration. Queued work items remain. */
  auto SetWeight(const WorkspaceId& aWorkspace, double aWeight) -> void;
  auto SetSlots(double aSlots) -> void { slots_ = aSlots; }

  auto Push(WorkItem aWork) -> void;
  /** \brief Removes a queued work item; false if it is not queued here. */
  auto RemoveQueued(const AttemptId& aId) -> bool;
  /** \brief Pops the head of the workspace's queue and counts it as in
   * flight. */
  auto Start(const WorkspaceId& aWorkspace) -> WorkItem;
  /** \brief Counts a work item as in flight that was never queued here. */
  auto StartUnqueued(const WorkspaceId& aWorkspace) -> void;
  auto Finish(const WorkspaceId& aWorkspace) -> void;

  /** \brief Replaces one peer's demand on this pool. */
  auto SetPeer(const HostId& aHost,
               const std::vector<WorkspaceDemand>& aDemands) -> void;
  auto ForgetPeer(const HostId& aHost) -> void { peers_.erase(aHost); }

  /** \brief Recomputes this host's shares. aRounding in [0, 1) is the offset
   * for the rounding of fractions; its values must be uniform over time. */
  auto UpdateShares(double aRounding) -> void;

  /** \brief The workspace to serve next, or nullptr.
   *
   * Workspaces below their share come first; others are considered only if
   * aPoolHasCapacity. Further criteria are, in this order, priority, the
   * fraction of the share in use, and the deadline. */
  [[nodiscard]] auto Pick(bool aPoolHasCapacity) const -> const WorkspaceId*;
  [[nodiscard]] auto HeadOf(const WorkspaceId& aWorkspace) const
    -> const WorkItem&
  {
    return workspaces_.at(aWorkspace).queue_.Head();
  }
  [[nodiscard]] auto IsEntitled(const WorkspaceId& aWorkspace) const -> bool;

  /** \brief Removes queued work items for which aIsInfeasible holds and passes
   * them to aSink. \sa WorkQueue::RemoveInfeasible */
  template<typename Predicate, typename Sink>
  auto RemoveInfeasible(Predicate aIsInfeasible, Sink aSink) -> void
  {
    for (auto& [id, workspace] : workspaces_) {
      workspace.queue_.RemoveInfeasible(aIsInfeasible, [&](WorkItem aWork) {
        --waiting_;
        aSink(std::move(aWork));
      });
    }
  }

  /** \brief Expected time that a new work item spends in this host's queue. */
  [[nodiscard]] auto Wait(const WorkspaceId& aWorkspace, Priority aPriority,
                          bool aPoolHasCapacity) const -> Duration;

  [[nodiscard]] auto HasWaiting() const -> bool { return waiting_ > 0; }
  [[nodiscard]] auto Waiting() const -> std::size_t { return waiting_; }
  [[nodiscard]] auto InFlight() const -> unsigned { return inFlight_; }
  [[nodiscard]] auto Slots() const -> double { return slots_; }
  [[nodiscard]] auto Service() -> LinearEstimator& { return service_; }
  [[nodiscard]] auto Service() const -> const LinearEstimator&
  {
    return service_;
  }
  [[nodiscard]] auto Demands(const PoolId& aPool) const
    -> std::vector<WorkspaceDemand>;

private:
  struct WorkspaceLoad
  {
    WorkQueue queue_;
    unsigned inFlight_ = 0;
    double weight_ = 1.0;
    /** Requests that this host may have in flight, and the same rounded to a
     * whole number. */
    double share_ = 0.0;
    unsigned wholeShare_ = 0;
  };

  [[nodiscard]] auto Demand(const WorkspaceLoad& aLoad) const -> double
  {
    return static_cast<double>(aLoad.queue_.size() + aLoad.inFlight_);
  }
  [[nodiscard]] auto PeerDemand(const WorkspaceId& aWorkspace) const -> double;
  [[nodiscard]] auto MinShare(const WorkspaceLoad& aLoad) const -> double;

  std::map<WorkspaceId, WorkspaceLoad> workspaces_;
  std::map<HostId, std::map<WorkspaceId, double>> peers_;
  LinearEstimator service_;
  double slots_ = 0.0;
  std::size_t waiting_ = 0;
  unsigned inFlight_ = 0;
};

} // namespace goldcrestcroft

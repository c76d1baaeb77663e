#pragma once

#include "FairShares.h"
#include "HostLoad.h"
#include "LinearEstimator.h"
#include "WorkQueue.h"

#include <map>
#include <string>

namespace goldcrestcroft {

/** \brief Waiting work of one pool at one entry host, and how much of the pool
 * each workspace may use from here. */
class PoolLoad
{
public:
  explicit PoolLoad(const Pool& aPool);

  /** \brief Takes a changed configuration; waiting work stays. */
  auto SetWeight(const WorkspaceId& aWorkspace, double aWeight) -> void;
  auto SetSlots(double aSlots) -> void { slots_ = aSlots; }

  auto Push(Work aWork) -> void;
  /** \brief Takes out a waiting work; false if it does not wait here. */
  auto RemoveAny(const AttemptId& aId) -> bool;
  /** \brief Pops the head of the workspace's queue and counts it in flight. */
  auto Start(const WorkspaceId& aWorkspace) -> Work;
  /** \brief Counts a work in flight that never waited here. */
  auto StartExtra(const WorkspaceId& aWorkspace) -> void;
  auto Finish(const WorkspaceId& aWorkspace) -> void;

  /** \brief Replaces what one peer asks of this pool. */
  auto SetPeer(const HostId& aHost,
               const std::vector<WorkspaceDemand>& aDemands) -> void;
  auto ForgetPeer(const HostId& aHost) -> void { peers_.erase(aHost); }

  /** \brief Works out this host's shares anew. aRounding, from [0, 1), decides
   * what becomes of the fractions; over time it must be spread evenly. */
  auto UpdateShares(double aRounding) -> void;

  /** \brief The workspace to serve next, or none.
   *
   * Those below their share go first; others only if aPoolHasRoom. Within
   * that: priority, then the smaller part of the share in use, then deadline.
   */
  [[nodiscard]] auto Pick(bool aPoolHasRoom) const -> const WorkspaceId*;
  [[nodiscard]] auto HeadOf(const WorkspaceId& aWorkspace) const -> const Work&
  {
    return workspaces_.at(aWorkspace).queue_.Head();
  }
  [[nodiscard]] auto IsEntitled(const WorkspaceId& aWorkspace) const -> bool;

  /** \brief Removes waiting work for which aIsInfeasible holds and hands it
   * over. Looks at the earliest deadline of each priority. */
  template<typename Predicate, typename Sink>
  auto RemoveInfeasible(Predicate aIsInfeasible, Sink aSink) -> void
  {
    for (auto& [id, workspace] : workspaces_) {
      workspace.queue_.RemoveInfeasible(aIsInfeasible, [&](Work aWork) {
        --waiting_;
        aSink(std::move(aWork));
      });
    }
  }

  /** \brief Expected time in this host's queue for new work. */
  [[nodiscard]] auto Wait(const WorkspaceId& aWorkspace, Priority aPriority,
                          bool aPoolHasRoom) const -> Duration;

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
    /** Requests that may be in flight from this host. */
    double share_ = 0.0;
    unsigned whole_ = 0;
  };

  [[nodiscard]] auto Demand(const WorkspaceLoad& aLoad) const -> double
  {
    return static_cast<double>(aLoad.queue_.size() + aLoad.inFlight_);
  }
  [[nodiscard]] auto PeerDemand(const WorkspaceId& aWorkspace) const -> double;
  [[nodiscard]] auto LeastShare(const WorkspaceLoad& aLoad) const -> double;

  std::map<WorkspaceId, WorkspaceLoad> workspaces_;
  std::map<HostId, std::map<WorkspaceId, double>> peers_;
  LinearEstimator service_;
  double slots_ = 0.0;
  std::size_t waiting_ = 0;
  unsigned inFlight_ = 0;
};

} // namespace goldcrestcroft

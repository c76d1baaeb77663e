#pragma once

#include "Admission.h"
#include "Assignment.h"
#include "DispatcherOptions.h"
#include "PoolLoad.h"
#include "RoutingPolicy.h"
#include "ServerLoad.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

namespace goldcrestcroft {

/** \brief Outcome of a work item that was dispatched to a server. */
enum class Finish
{
  Completed,
  Failed,
  /** The host no longer needs the result, as with the slower of two hedged
   * attempts. */
  Abandoned
};

/** \brief One stage that a request still has to run. */
struct StageForecast
{
  PoolId pool_;
  /** Size of the work item, if already known. */
  std::optional<double> size_;
};

/** \brief Schedules the work items of one entry host onto backend servers.
 *
 * Combines admission control, queue order, fair shares, routing and ejection of
 * stragglers. It performs no I/O: the host reports events and calls Next until
 * that returns no assignment. */
template<RoutingPolicy Routing>
class Dispatcher
{
public:
  Dispatcher(DispatcherOptions aOptions, Routing aRouting, std::uint64_t aSeed)
    : options_(std::move(aOptions))
    , routing_(std::move(aRouting))
    , random_(aSeed)
    , stragglers_(options_.stragglers_)
  {
  }

  /** \brief Applies a configuration. Queued and in-flight work items remain. */
  auto Adopt(const Configuration& aConfiguration) -> void;

  /** \brief Whether a request can complete aStages before aDeadline. */
  [[nodiscard]] auto Admit(const std::vector<StageForecast>& aStages,
                           const WorkspaceId& aWorkspace, Priority aPriority,
                           TimePoint aDeadline, TimePoint aNow) -> Admission;

  /** \brief Total expected service time of these stages, without queueing. */
  [[nodiscard]] auto ServiceTime(
    const std::vector<StageForecast>& aStages) const -> Duration;

  /** \brief Queues a work item. Returns false if its pool is not configured. */
  auto Submit(WorkItem aWork) -> bool;
  /** \brief Starts the next work item; none if nothing can start now. */
  auto Next(TimePoint aNow) -> std::optional<Assignment>;
  /** \brief Starts a second attempt of an in-flight work item at another server
   * with a free slot; none if there is no such server. */
  auto Hedge(const AttemptId& aOriginal, AttemptId aCopy, TimePoint aNow)
    -> std::optional<Assignment>;
  /** \brief Starts a work item at aServer, bypassing the queue. */
  auto StartAt(WorkItem aWork, const ServerId& aServer, TimePoint aNow)
    -> Assignment;
  /** \brief Removes and returns queued work items that can no longer meet their
   * deadline. */
  auto TakeInfeasible(TimePoint aNow) -> std::vector<WorkItem>;
  /** \brief Removes a work item, whether queued or in flight. */
  auto Cancel(const AttemptId& aId, TimePoint aNow) -> void;
  /** \brief Reports the outcome of an in-flight work item. */
  auto OnFinish(const AttemptId& aId, Finish aOutcome, TimePoint aNow) -> void;

  /** \brief Records the number of requests that a server reports. */
  auto OnReport(const ServerId& aServer, double aInFlight) -> void;
  /** \brief Excludes a server from new work, or includes it again. */
  auto SetClosed(const ServerId& aServer, bool aClosed) -> void;
  auto OnPeerLoad(const HostLoad& aLoad, TimePoint aNow) -> void;
  auto OnPeerGone(const HostId& aHost) -> void;
  [[nodiscard]] auto ExportLoad() const -> HostLoad;
  /** \brief Re-evaluates which servers are stragglers, also from work items
   * that are overdue but still running. */
  auto Tick(TimePoint aNow) -> void;

  [[nodiscard]] auto Waiting() const -> std::size_t;
  [[nodiscard]] auto InFlight() const -> std::size_t
  {
    return inFlight_.size();
  }
  [[nodiscard]] auto ExpectedService(const PoolId& aPool, double aSize) const
    -> Duration;
  /** \brief Servers of the pool that accept new work, least loaded first. */
  [[nodiscard]] auto OpenServers(const PoolId& aPool) const
    -> std::vector<ServerId>;
  /** \brief A server of any configuration applied so far, or nullptr. */
  [[nodiscard]] auto FindServer(const ServerId& aServer) const
    -> const BackendServer*
  {
    const auto found = servers_.find(aServer);
    return found == servers_.end() ? nullptr : &found->second.server_;
  }
  [[nodiscard]] auto RequestsAt(const ServerId& aServer) const -> double;
  [[nodiscard]] auto IsEjected(const ServerId& aServer) const -> bool
  {
    return stragglers_.IsEjected(aServer);
  }
  [[nodiscard]] auto Random() -> RandomEngine& { return random_; }

private:
  struct Started
  {
    WorkItem work_;
    ServerId server_;
    bool borrowed_ = false;
    bool overdue_ = false;
    TimePoint since_;
  };
  struct PoolState
  {
    Pool pool_;
    PoolLoad load_;
    std::vector<ServerId> servers_;
    std::vector<PoolId> lenders_;
    TimePoint sharesUpdatedAt_{};
    /** Offset for the rounding of fractional shares, and until when it is
     * used. */
    double rounding_ = 0.0;
    TimePoint roundingUntil_{};
    /** Mean number of peers' requests per server, and the confidence, from 0 to
     * 1, that a single server still differs from that mean. */
    double meanPeerLoad_ = 0.0;
    double peerConfidence_ = 0.0;
  };

  /** Condition that a server has to meet to be a candidate for a work item.
   * Only servers of the work item's own pool may be overcommitted, and only by
   * work items of a workspace below its share. */
  enum class Eligibility
  {
    FreeSlot,
    Overcommitted,
    Borrowed,
    Any
  };

  auto RefreshShares(PoolState& aPool, TimePoint aNow) -> void;
  [[nodiscard]] auto HasCapacity(const PoolState& aPool) const -> bool;
  auto NextOf(PoolState& aPool, TimePoint aNow) -> std::optional<Assignment>;
  auto Route(PoolState& aPool, const WorkItem& aWork, bool aEntitled,
             TimePoint aNow) -> std::optional<Assignment>;
  auto CollectCandidates(const PoolState& aPool, const WorkItem& aWork,
                         Eligibility aEligibility) -> void;
  /** \brief Updates the pool's mean peer load and the confidence in deviations
   * from it. */
  auto RefreshPeerConfidence(PoolState& aPool, TimePoint aNow) -> void;
  /** \brief Estimated requests at a server for the server's own pool. */
  [[nodiscard]] auto EstimatedLoad(const PoolState& aPool,
                                   const ServerLoad& aServer) const -> double;
  auto MarkAffine(std::uint64_t aAffinity) -> void;
  auto Probe(const PoolState& aPool, TimePoint aNow) -> const ServerId*;
  auto Start(Assignment aAssignment, TimePoint aNow) -> Assignment;
  auto Release(const AttemptId& aId) -> std::optional<Started>;
  [[nodiscard]] auto Accepts(const PoolState& aPool, const ServerLoad& aServer,
                             const WorkItem& aWork,
                             Eligibility aEligibility) const -> bool;

  DispatcherOptions options_;
  Routing routing_;
  RandomEngine random_;
  StragglerDetector stragglers_;
  std::map<PoolId, PoolState> pools_;
  std::unordered_map<ServerId, ServerLoad> servers_;
  std::unordered_map<AttemptId, Started> inFlight_;
  std::map<HostId, TimePoint> peerReportTimes_;
  std::vector<Candidate> candidates_;
};

} // namespace goldcrestcroft

#include "DispatcherEvents.h"
#include "DispatcherRouting.h"

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

/** \brief How a work that was handed to a server ended. */
enum class Finish
{
  Completed,
  Failed,
  /** The host lost interest, as in a hedge that lost. */
  Abandoned
};

/** \brief One stage in a forecast of a request. */
struct StageForecast
{
  PoolId pool_;
  /** Size of the work, if it is known already. */
  std::optional<double> size_;
};

/** \brief Decides at one entry host which work goes where and when.
 *
 * Admission, order, fair shares, routing and ejection meet here. Feed it
 * events; take assignments from Next until there is none. */
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

  /** \brief Takes a configuration; work in flight and waiting stays. */
  auto Adopt(const Configuration& aConfiguration) -> void;

  /** \brief Whether a request with these stages ahead can be done in time. */
  [[nodiscard]] auto Admit(const std::vector<StageForecast>& aStages,
                           const WorkspaceId& aWorkspace, Priority aPriority,
                           TimePoint aDeadline, TimePoint aNow) -> Admission;

  /** \brief Time that these stages need once they are served at once. */
  [[nodiscard]] auto ServiceTime(
    const std::vector<StageForecast>& aStages) const -> Duration;

  /** \brief Work waits for a server; its pool must be configured. */
  auto Submit(Work aWork) -> bool;
  /** \brief The next work to hand over, or none for now. */
  auto Next(TimePoint aNow) -> std::optional<Assignment>;
  /** \brief A server with room for a second copy of a work in flight. The copy
   * counts as started. */
  auto Hedge(const AttemptId& aOriginal, AttemptId aCopy, TimePoint aNow)
    -> std::optional<Assignment>;
  /** \brief Starts a work at this server, past the queue. */
  auto StartAt(Work aWork, const ServerId& aServer, TimePoint aNow)
    -> Assignment;
  /** \brief Waiting work that can no longer be done in time. */
  auto TakeInfeasible(TimePoint aNow) -> std::vector<Work>;
  /** \brief Forgets a work, whether waiting or in flight. */
  auto Cancel(const AttemptId& aId, TimePoint aNow) -> void;
  /** \brief A work in flight ended. */
  auto OnFinish(const AttemptId& aId, Finish aHow, TimePoint aNow) -> void;

  /** \brief The server says how many requests it has. */
  auto OnReport(const ServerId& aServer, double aInFlight) -> void;
  /** \brief The server takes no new work until opened again. */
  auto SetClosed(const ServerId& aServer, bool aClosed) -> void;
  auto OnPeerLoad(const HostLoad& aLoad, TimePoint aNow) -> void;
  auto OnPeerGone(const HostId& aHost) -> void;
  [[nodiscard]] auto ExportLoad() const -> HostLoad;
  /** \brief Renews verdicts on stragglers, also from work that is overdue. */
  auto Tick(TimePoint aNow) -> void;

  [[nodiscard]] auto Waiting() const -> std::size_t;
  [[nodiscard]] auto InFlight() const -> std::size_t
  {
    return inFlight_.size();
  }
  [[nodiscard]] auto ExpectedService(const PoolId& aPool, double aSize) const
    -> Duration;
  /** \brief Servers of the pool that take new work, the least loaded first. */
  [[nodiscard]] auto OpenServers(const PoolId& aPool) const
    -> std::vector<ServerId>;
  /** \brief A server of any configuration adopted so far, or nullptr. */
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
    Work work_;
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
    TimePoint sharesAt_{};
    /** How fractions of shares are rounded, and until when. */
    double rounding_ = 0.0;
    TimePoint roundingUntil_{};
    /** Mean of the peers' counts over the servers, and the trust in a server's
     * difference from it, 0 to 1. */
    double peersMean_ = 0.0;
    double trust_ = 0.0;
  };

  /** A server that could take a work. Owned ones may be over-committed to
   * work that is entitled to its share. */
  enum class Reach
  {
    Room,
    Overcommit,
    Borrow,
    Any
  };

  auto RefreshShares(PoolState& aPool, TimePoint aNow) -> void;
  [[nodiscard]] auto HasRoom(const PoolState& aPool) const -> bool;
  auto NextOf(PoolState& aPool, TimePoint aNow) -> std::optional<Assignment>;
  auto Route(PoolState& aPool, const Work& aWork, bool aEntitled,
             TimePoint aNow) -> std::optional<Assignment>;
  auto Collect(const PoolState& aPool, const Work& aWork, Reach aReach) -> void;
  /** \brief Works out how much of the peers' counts to believe now. */
  auto RefreshTrust(PoolState& aPool, TimePoint aNow) -> void;
  /** \brief Requests believed to be at a server for its own pool. */
  [[nodiscard]] auto Believed(const PoolState& aPool,
                              const ServerLoad& aServer) const -> double;
  auto MarkAffine(std::uint64_t aAffinity) -> void;
  auto Probe(const PoolState& aPool, TimePoint aNow) -> const ServerId*;
  auto Start(Assignment aAssignment, TimePoint aNow) -> Assignment;
  auto Release(const AttemptId& aId) -> std::optional<Started>;
  [[nodiscard]] auto Accepts(const PoolState& aPool, const ServerLoad& aServer,
                             const Work& aWork, Reach aReach) const -> bool;

  DispatcherOptions options_;
  Routing routing_;
  RandomEngine random_;
  StragglerDetector stragglers_;
  std::map<PoolId, PoolState> pools_;
  std::unordered_map<ServerId, ServerLoad> servers_;
  std::unordered_map<AttemptId, Started> inFlight_;
  std::map<HostId, TimePoint> peersHeard_;
  std::vector<Candidate> candidates_;
};

} // namespace goldcrestcroft

#include "DispatcherEvents.h"
#include "DispatcherRouting.h"

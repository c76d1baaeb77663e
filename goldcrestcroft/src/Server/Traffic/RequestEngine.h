#pragma once

#include "../Control/ControlMessage.h"
#include "../Control/ControlView.h"
#include "../Control/OnceExecutionManager.h"
#include "../Http/IncomingRequest.h"
#include "../Http/ResponseCodec.h"
#include "StageClient.h"
#include "SuspectRunner.h"

#include <map>
#include <set>

namespace goldcrestcroft {

/** \brief Runs all requests of one entry host: executes the commands of each
 * PipelineRun over the network and feeds the results back to it. Used on the
 * traffic thread only. */
class RequestEngine
{
public:
  struct Options
  {
    Settings settings_;
    Incarnation incarnation_ = 0;
    std::uint64_t seed_ = 0;
  };

  RequestEngine(Options aOptions, HttpClient& aHttp, PlatformTable& aTable,
                Metrics& aMetrics,
                std::function<void(ControlMessage)> aToControl);

  auto OnIncoming(IncomingRequest aRequest) -> void;
  auto OnPeerLoad(const HostLoad& aLoad) -> void;
  auto OnPeerGone(const HostId& aHost) -> void;
  auto OnQuarantineUpdates(const std::vector<QuarantineUpdate>& aUpdates)
    -> void;
  auto Adopt(ControlViewPtr aView) -> void;
  auto Tick() -> void;

  [[nodiscard]] auto UnderWay() const -> std::size_t
  {
    return requests_.size();
  }
  [[nodiscard]] auto IsIdle() const -> bool
  {
    return requests_.empty() && once_.IsIdle();
  }
  /** \brief Connections to callers that have unsent bytes buffered. */
  [[nodiscard]] auto SocketsAwaitingWrite()
    -> std::vector<std::shared_ptr<CallerSocket>>;

private:
  struct ActiveRequest
  {
    IncomingRequest incoming_;
    PipelineRun run_;
    TraceContext span_;
    std::chrono::system_clock::time_point startedAt_;
    std::map<AttemptId, TraceContext> hopSpans_;
    /** Set only for a non-idempotent request. */
    AttemptId onceAttempt_;
    /** When the table service allowed it to run. */
    TimePoint claimedAt_{};
    /** The result of the run, held until its table row permits sending it. */
    RequestResult pendingResult_;
  };

  using Requests = std::map<RequestId, std::unique_ptr<ActiveRequest>>;

  auto Find(const AttemptId& aAttempt) -> ActiveRequest*;
  auto FindById(const RequestId& aId) -> ActiveRequest*;
  auto Refuse(IncomingRequest& aIncoming, RequestResult aResult,
              const std::string& aReason) -> void;
  auto IsQuarantined(const CheckedRequest& aRequest, TimePoint aNow) const
    -> bool;
  auto BeginNonIdempotent(ActiveRequest& aRequest, TimePoint aNow) -> void;
  auto Execute(const RequestId& aId, const PipelineRun::Commands& aCommands,
               TimePoint aNow) -> void;
  auto Submit(ActiveRequest& aRequest, WorkItem aWork, TimePoint aNow) -> void;
  auto Cancel(const AttemptId& aAttempt, TimePoint aNow) -> void;
  auto Emit(ActiveRequest& aRequest, const std::string& aText) -> void;
  auto OnRunFinished(ActiveRequest& aRequest, RequestResult aResult,
                     TimePoint aNow) -> void;
  auto Respond(const RequestId& aId, const RequestResult& aResult,
               bool aReplayed) -> void;
  /** \brief Counts the attempts of a finished request, and exports its spans if
   * a collector is configured and the request is sampled. */
  auto RecordTrace(const ActiveRequest& aRequest, const RequestResult& aResult)
    -> void;
  /** \brief Returns false once this second's trace limit is reached. */
  auto TrySampleTrace() -> bool;
  auto Pump(TimePoint aNow) -> void;
  auto Dispatch(const Assignment& aAssignment, TimePoint aNow) -> void;
  auto CallStage(ActiveRequest& aRequest, const Assignment& aAssignment,
                 TimePoint aNow) -> void;
  auto MakeStageEvents() -> StageEvents;
  auto OnStageFailure(const AttemptId& aAttempt, const ServerId& aServer,
                      AttemptFailure aFailure) -> void;
  auto OnConnectionBroken(const AttemptId& aAttempt, const ServerId& aServer)
    -> void;
  auto OnProbeResult(const ServerId& aServer, bool aAlive) -> void;
  auto FinishAttempt(const AttemptId& aAttempt, Finish aOutcome, TimePoint aNow)
    -> void;
  auto Fail(const AttemptId& aAttempt, AttemptFailure aFailure, TimePoint aNow)
    -> void;
  auto MarkDown(const ServerId& aServer, TimePoint aNow) -> void;
  auto UpdateClosedServers(TimePoint aNow) -> void;
  auto TickRequests(TimePoint aNow) -> void;
  auto TryHedge(ActiveRequest& aRequest, TimePoint aNow) -> void;
  auto BudgetOf(const ActiveRequest& aRequest) -> RetryBudget&;
  auto Publish(const std::vector<QuarantineUpdate>& aUpdates) -> void;
  /** \brief Fails the queued suspects that are quarantined by now. */
  auto FailQuarantinedSuspects(TimePoint aNow) -> void;
  [[nodiscard]] auto QuarantineKey(const ActiveRequest& aRequest) const
    -> std::uint64_t;

  Options options_;
  SteadyClock clock_;
  Metrics& metrics_;
  HttpClient& http_;
  std::function<void(ControlMessage)> toControl_;
  ControlViewPtr view_ = std::make_shared<ControlView>();
  Dispatcher<CorrectedLoadRouting> dispatcher_;
  StageClient stageClient_;
  OnceExecutionManager once_;
  Quarantine quarantine_;
  SuspectRunner suspectRunner_;
  Requests requests_;
  std::map<std::pair<WorkspaceId, PoolId>, RetryBudget> budgets_;
  /** Servers that failed or reported draining, and how long they stay closed
   * here. This bridges the time until the control thread has been notified. */
  std::map<ServerId, TimePoint> downUntil_;
  std::set<ServerId> closed_;
  /** Attempts whose connection broke, by server, until the probe of that server
   * ends. */
  std::map<ServerId, std::vector<AttemptId>> awaitingProbe_;
  /** Connections of finished requests that still have unsent bytes. */
  std::vector<std::shared_ptr<CallerSocket>> unflushed_;
  TimePoint nextDispatcherTick_{};
  TimePoint nextExport_{};
  TimePoint tracePeriodStart_{};
  unsigned tracesInPeriod_ = 0;
  bool pumping_ = false;
};

} // namespace goldcrestcroft

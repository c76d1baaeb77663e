#pragma once

#include "../Control/ControlMail.h"
#include "../Control/ControlView.h"
#include "../Control/OnceKeeper.h"
#include "../Http/AnswerCodec.h"
#include "../Http/IncomingRequest.h"
#include "SoloTurn.h"
#include "StageCaller.h"

#include <map>
#include <set>

namespace goldcrestcroft {

/** \brief All requests of one entry host: carries decisions to the network and
 * back. Lives on the traffic thread. */
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
                Metrics& aMetrics, std::function<void(ControlMail)> aToControl);

  auto OnIncoming(IncomingRequest aRequest) -> void;
  auto OnPeerLoad(const HostLoad& aLoad) -> void;
  auto OnPeerGone(const HostId& aHost) -> void;
  auto OnPoisonNews(const std::vector<PoisonNews>& aNews) -> void;
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
  /** \brief Callers whose connections have bytes waiting. */
  [[nodiscard]] auto Blocked() -> std::vector<std::shared_ptr<CallerSocket>>;

private:
  struct ActiveRequest
  {
    IncomingRequest incoming_;
    PipelineRun run_;
    TraceContext span_;
    std::chrono::system_clock::time_point startedAt_;
    std::map<AttemptId, TraceContext> hopSpans_;
    /** Set for a non-idempotent request. */
    AttemptId onceAttempt_;
    /** When the table service had let it run. */
    TimePoint claimedAt_{};
    /** What the run said in the end, until the row allows to say it. */
    CallerAnswer pending_;
  };

  using Requests = std::map<RequestId, std::unique_ptr<ActiveRequest>>;

  auto Find(const AttemptId& aAttempt) -> ActiveRequest*;
  auto FindById(const RequestId& aId) -> ActiveRequest*;
  auto Refuse(IncomingRequest& aIncoming, CallerAnswer aAnswer,
              const std::string& aReason) -> void;
  auto Quarantined(const CheckedRequest& aRequest, TimePoint aNow) const
    -> bool;
  auto BeginOnce(ActiveRequest& aRequest, TimePoint aNow) -> void;
  auto Execute(const RequestId& aId, const PipelineRun::Commands& aCommands,
               TimePoint aNow) -> void;
  auto Submit(ActiveRequest& aRequest, Work aWork, TimePoint aNow) -> void;
  auto Cancel(const AttemptId& aAttempt, TimePoint aNow) -> void;
  auto Emit(ActiveRequest& aRequest, const std::string& aText) -> void;
  auto OnRunFinished(ActiveRequest& aRequest, CallerAnswer aAnswer,
                     TimePoint aNow) -> void;
  auto Answer(const RequestId& aId, const CallerAnswer& aAnswer, bool aRepeated)
    -> void;
  auto Trace(const ActiveRequest& aRequest, const CallerAnswer& aAnswer)
    -> void;
  /** \brief Whether this second has a trace to spare. */
  auto TakeTrace() -> bool;
  auto Pump(TimePoint aNow) -> void;
  auto Dispatch(const Assignment& aAssignment, TimePoint aNow) -> void;
  auto CallStage(ActiveRequest& aRequest, const Assignment& aAssignment,
                 TimePoint aNow) -> void;
  auto MakeStageEvents() -> StageEvents;
  auto OnStageFailure(const AttemptId& aAttempt, const ServerId& aServer,
                      AttemptFailure aFailure) -> void;
  auto OnBroken(const AttemptId& aAttempt, const ServerId& aServer) -> void;
  auto OnProbed(const ServerId& aServer, bool aAlive) -> void;
  auto Settle(const AttemptId& aAttempt, Finish aHow, TimePoint aNow) -> void;
  auto Fail(const AttemptId& aAttempt, AttemptFailure aFailure, TimePoint aNow)
    -> void;
  auto MarkDown(const ServerId& aServer, TimePoint aNow) -> void;
  auto CloseServers(TimePoint aNow) -> void;
  auto TickRequests(TimePoint aNow) -> void;
  auto TryHedge(ActiveRequest& aRequest, TimePoint aNow) -> void;
  auto BudgetOf(const ActiveRequest& aRequest) -> RetryBudget&;
  auto Publish(const std::vector<PoisonNews>& aNews) -> void;
  /** \brief Ends suspects that waited for their turn and are quarantined. */
  auto EndQuarantined(TimePoint aNow) -> void;
  [[nodiscard]] auto PoisonKey(const ActiveRequest& aRequest) const
    -> std::uint64_t;

  Options options_;
  SteadyClock clock_;
  Metrics& metrics_;
  HttpClient& http_;
  std::function<void(ControlMail)> toControl_;
  ControlViewPtr view_ = std::make_shared<ControlView>();
  Dispatcher<CorrectedLoadRouting> dispatcher_;
  StageCaller caller_;
  OnceKeeper once_;
  Quarantine quarantine_;
  SoloTurn solo_;
  Requests requests_;
  std::map<std::pair<WorkspaceId, PoolId>, RetryBudget> budgets_;
  /** Servers that failed a moment ago, until the control thread knows. */
  std::map<ServerId, TimePoint> downUntil_;
  std::set<ServerId> closed_;
  /** Attempts that broke on a server whose probe is under way. */
  std::map<ServerId, std::vector<AttemptId>> broken_;
  /** Answered callers whose connections still have bytes waiting. */
  std::vector<std::shared_ptr<CallerSocket>> draining_;
  TimePoint nextDispatcherTick_{};
  TimePoint nextExport_{};
  TimePoint tracesSince_{};
  unsigned traces_ = 0;
  bool pumping_ = false;
};

} // namespace goldcrestcroft

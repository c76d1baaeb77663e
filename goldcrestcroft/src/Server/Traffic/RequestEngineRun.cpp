#include "RequestEngine.h"

namespace goldcrestcroft {

namespace {

template<typename... Cases>
struct Overloaded : Cases...
{
  using Cases::operator()...;
};

template<typename... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

} // namespace

auto RequestEngine::Execute(const RequestId& aId,
                            const PipelineRun::Commands& aCommands,
                            TimePoint aNow) -> void
{
  for (const auto& command : aCommands) {
    auto* request = FindById(aId);
    if (request == nullptr) {
      return;
    }
    std::visit(
      Overloaded{
        [&](const SubmitWork& aSubmit) {
          Submit(*request, aSubmit.work_, aNow);
        },
        [&](const CancelAttempt& aCancel) { Cancel(aCancel.attempt_, aNow); },
        [&](const EmitText& aEmit) { Emit(*request, aEmit.text_); },
        [&](const FinishRequest& aFinish) {
          OnRunFinished(*request, aFinish.answer_, aNow);
        } },
      command);
  }
}

auto RequestEngine::QuarantineKey(const ActiveRequest& aRequest) const
  -> std::uint64_t
{
  return Fingerprint(aRequest.run_.StagePool().id_.value_,
                     aRequest.incoming_.request_.fingerprint_);
}

auto RequestEngine::Submit(ActiveRequest& aRequest, WorkItem aWork,
                           TimePoint aNow) -> void
{
  const auto id = aRequest.run_.Id();
  auto later = aRequest.run_.Forecast();
  later.erase(later.begin());
  aWork.reserve_ = dispatcher_.ServiceTime(later);
  const auto verdict = quarantine_.Judge(QuarantineKey(aRequest), aNow);
  if (verdict == Verdict::Quarantined) {
    Execute(id, aRequest.run_.OnQuarantined(aNow), aNow);
  } else if (verdict == Verdict::Suspect) {
    suspectRunner_.Add(std::move(aWork));
  } else {
    dispatcher_.Submit(std::move(aWork));
  }
}

auto RequestEngine::Cancel(const AttemptId& aAttempt, TimePoint aNow) -> void
{
  stageClient_.Cancel(aAttempt);
  dispatcher_.Cancel(aAttempt, aNow);
  suspectRunner_.Cancel(aAttempt, aNow);
}

auto RequestEngine::Pump(TimePoint aNow) -> void
{
  if (pumping_) {
    return;
  }
  pumping_ = true;
  while (const auto assignment = dispatcher_.Next(aNow)) {
    Dispatch(*assignment, aNow);
  }
  pumping_ = false;
}

auto RequestEngine::Dispatch(const Assignment& aAssignment, TimePoint aNow)
  -> void
{
  const auto& attempt = aAssignment.work_.id_;
  auto* request = Find(attempt);
  if (request == nullptr) {
    Cancel(attempt, aNow);
    return;
  }
  if (!request->onceAttempt_.Empty()) {
    const auto& content = view_->config_->Content();
    const auto* pipeline =
      content.FindPipeline(request->incoming_.request_.pipeline_);
    const auto allowed =
      pipeline != nullptr &&
      std::find(pipeline->workspaces_.begin(), pipeline->workspaces_.end(),
                request->run_.Workspace()) != pipeline->workspaces_.end();
    const auto running = once_.IsRunning(request->onceAttempt_);
    if (!running && !allowed) {
      Cancel(attempt, aNow);
      Execute(request->run_.Id(), request->run_.OnDisallowed(aNow), aNow);
      return;
    }
    if (!once_.TryDispatch(request->onceAttempt_, aNow)) {
      Cancel(attempt, aNow);
      return;
    }
  }
  request->run_.OnAssigned(attempt, aAssignment.server_, aNow);
  CallStage(*request, aAssignment, aNow);
}

auto RequestEngine::CallStage(ActiveRequest& aRequest,
                              const Assignment& aAssignment, TimePoint aNow)
  -> void
{
  const auto& run = aRequest.run_;
  const auto& work = aAssignment.work_;
  const auto* server = dispatcher_.FindServer(aAssignment.server_);
  const auto& pool = run.StagePool();
  const auto span = MakeSpan(aRequest.span_, dispatcher_.Random());
  aRequest.hopSpans_[work.id_] = span;
  stageClient_.Send(
    { .attempt_ = work.id_,
      .request_ = run.Id(),
      .server_ = *server,
      .pool_ = &pool,
      .body_ = BuildStageBody(pool.kind_, run.Data()),
      .traceparent_ = span.ToHeader(),
      .timeLeft_ = std::max(run.Deadline() - aNow, Duration{ 1000 }),
      .priority_ = work.priority_,
      .borrowed_ = aAssignment.borrowed_ },
    aNow);
}

auto RequestEngine::FinishAttempt(const AttemptId& aAttempt, Finish aOutcome,
                                  TimePoint aNow) -> void
{
  if (aOutcome == Finish::Completed && suspectRunner_.IsRunning(aAttempt)) {
    if (const auto* request = Find(aAttempt)) {
      Publish(quarantine_.OnCleared(QuarantineKey(*request)));
    }
  }
  dispatcher_.OnFinish(aAttempt, aOutcome, aNow);
  suspectRunner_.OnEnded(aAttempt, aOutcome == Finish::Failed, aNow);
}

} // namespace goldcrestcroft

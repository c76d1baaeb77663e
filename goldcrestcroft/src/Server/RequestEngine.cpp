#include "RequestEngine.h"

#include "Log.h"

namespace goldcrestcroft {

namespace {

constexpr Duration kDownLocally = std::chrono::seconds{ 1 };
constexpr Duration kRetryBusy = std::chrono::seconds{ 1 };
constexpr Duration kProbeTimeout = std::chrono::milliseconds{ 200 };

template<typename... Cases>
struct Overloaded : Cases...
{
  using Cases::operator()...;
};

template<typename... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

auto RequestOf(const AttemptId& aAttempt) -> RequestId
{
  return { aAttempt.value_.substr(0, aAttempt.value_.find('.')) };
}

} // namespace

RequestEngine::RequestEngine(Options aOptions, HttpClient& aHttp,
                             PlatformTable& aTable, Metrics& aMetrics,
                             std::function<void(ControlMail)> aToControl)
  : options_(std::move(aOptions))
  , metrics_(aMetrics)
  , http_(aHttp)
  , toControl_(std::move(aToControl))
  , dispatcher_({ .host_ = options_.settings_.host_,
                  .zone_ = options_.settings_.zone_,
                  .overcommit_ = options_.settings_.backends_.overcommit_ },
                CorrectedLoadRouting(), options_.seed_)
  , caller_(aHttp, options_.settings_.backends_.connect_, MakeStageEvents())
  , once_(options_.settings_.once_, aTable)
  , quarantine_({})
  , solo_(
      { .settle_ = options_.settings_.peers_.heartbeat_ +
                   std::chrono::milliseconds{ 100 } },
      options_.settings_.host_.value_ + ":" +
        std::to_string(options_.incarnation_),
      aTable,
      { .pickServer_ = [this](const PoolId& aPool) -> std::optional<ServerId> {
         const auto open = dispatcher_.OpenServers(aPool);
         return open.empty() ? std::nullopt : std::optional(open.front());
       },
        .isEmpty_ =
          [this](const ServerId& aServer) {
            return dispatcher_.RequestsAt(aServer) == 0.0;
          },
        .start_ =
          [this](const Work& aWork, const ServerId& aServer) {
            const auto now = clock_.Now();
            Dispatch(dispatcher_.StartAt(aWork, aServer, now), now);
          },
        .refuse_ =
          [this](const Work& aWork) {
            const auto now = clock_.Now();
            if (auto* request = Find(aWork.id_)) {
              Execute(request->run_.Id(),
                      request->run_.OnInfeasible(kRetryBusy, now), now);
            }
          },
        .onReserved_ =
          [this](const ServerId& aServer) {
            CloseServers(clock_.Now());
            std::vector<ServerId> reserved;
            if (!aServer.Empty()) {
              reserved.push_back(aServer);
            }
            toControl_(ServersReserved{ std::move(reserved) });
          } })
{
}

auto RequestEngine::FindById(const RequestId& aId) -> ActiveRequest*
{
  const auto found = requests_.find(aId);
  return found == requests_.end() ? nullptr : found->second.get();
}

auto RequestEngine::Find(const AttemptId& aAttempt) -> ActiveRequest*
{
  return FindById(RequestOf(aAttempt));
}

auto RequestEngine::BudgetOf(const ActiveRequest& aRequest) -> RetryBudget&
{
  return budgets_
    .try_emplace(
      { aRequest.run_.Workspace(), aRequest.run_.StagePool().id_ },
      RetryBudget({ .share_ = options_.settings_.backends_.retryShare_ }))
    .first->second;
}

auto RequestEngine::Refuse(IncomingRequest& aIncoming, CallerAnswer aAnswer,
                           const std::string& aReason) -> void
{
  metrics_.CountRefused(aReason);
  // Before a look at the row only a caller who vouches that the key is new can
  // be told for certain that nothing ran.
  const auto& request = aIncoming.request_;
  if (!request.idempotent_ && !request.firstSubmission_) {
    aAnswer.outcome_ = Outcome::Unknown;
  }
  metrics_.CountRequest(request.pipeline_, aAnswer.outcome_,
                        clock_.Now() - aIncoming.arrivedAt_);
  aIncoming.reply_.Send(
    BuildReply(aAnswer, { .request_ = aIncoming.id_,
                          .version_ = request.config_->Number() }));
}

auto RequestEngine::Quarantined(const CheckedRequest& aRequest,
                                TimePoint aNow) const -> bool
{
  const auto* pipeline =
    aRequest.config_->Content().FindPipeline(aRequest.pipeline_);
  return std::any_of(
    pipeline->stages_.begin(), pipeline->stages_.end(),
    [&](const Stage& aStage) {
      const auto key = Fingerprint(aStage.pool_.value_, aRequest.fingerprint_);
      return quarantine_.Judge(key, aNow) == Verdict::Quarantined;
    });
}

auto RequestEngine::OnIncoming(IncomingRequest aRequest) -> void
{
  const auto now = clock_.Now();
  const auto& settings = options_.settings_;
  if (requests_.size() >= settings.callers_.maxInFlight_) {
    Refuse(aRequest,
           Refusal({ .kind_ = ErrorKind::Unavailable,
                     .message_ = "this entry host has too many requests",
                     .remedy_ = "come back after the time given, or use "
                                "another address of GET /v1/hosts" },
                   kRetryBusy),
           "too_many");
    return;
  }
  if (Quarantined(aRequest.request_, now)) {
    Refuse(aRequest, Refusal(QuarantineError()), "quarantined");
    return;
  }
  const auto id = aRequest.id_;
  const auto& checked = aRequest.request_;
  PipelineRun run({ .id_ = id,
                    .config_ = checked.config_,
                    .pipeline_ = checked.pipeline_,
                    .workspace_ = checked.workspace_,
                    .input_ = checked.input_,
                    .deadline_ = aRequest.arrivedAt_ + checked.deadline_,
                    .maxAttempts_ = settings.backends_.attempts_ });
  const auto* pipeline =
    checked.config_->Content().FindPipeline(checked.pipeline_);
  const auto admission =
    dispatcher_.Admit(run.Forecast(), checked.workspace_, pipeline->priority_,
                      run.Deadline(), now);
  if (!admission.admitted_) {
    Refuse(aRequest,
           Refusal({ .kind_ = ErrorKind::Unavailable,
                     .message_ = "the deadline cannot be met now",
                     .remedy_ = "come back after the time given" },
                   admission.retryAfter_),
           "infeasible");
    return;
  }
  auto span = MakeSpan(checked.parent_, dispatcher_.Random());
  const auto startedAt =
    std::chrono::system_clock::now() - (now - aRequest.arrivedAt_);
  auto active = std::make_unique<ActiveRequest>(
    ActiveRequest{ .incoming_ = std::move(aRequest),
                   .run_ = std::move(run),
                   .span_ = std::move(span),
                   .startedAt_ = startedAt });
  auto& request = *active;
  requests_.emplace(id, std::move(active));
  if (request.incoming_.request_.idempotent_) {
    Execute(id, request.run_.Begin(now), now);
  } else {
    BeginOnce(request, now);
  }
  Pump(now);
}

auto RequestEngine::BeginOnce(ActiveRequest& aRequest, TimePoint aNow) -> void
{
  const auto id = aRequest.incoming_.id_;
  const auto& checked = aRequest.incoming_.request_;
  aRequest.onceAttempt_ = { id.value_ + ".once" };
  once_.Begin(
    { .key_ = checked.key_,
      .attempt_ = aRequest.onceAttempt_,
      .host_ = options_.settings_.host_,
      .incarnation_ = options_.incarnation_,
      .deadline_ = aRequest.run_.Deadline(),
      .firstSubmission_ = checked.firstSubmission_ },
    { .onRun_ =
        [this, id] {
          const auto now = clock_.Now();
          if (auto* request = FindById(id)) {
            Execute(id, request->run_.Begin(now), now);
            Pump(now);
          }
        },
      .onAnswer_ =
        [this, id](const RecordedAnswer& aRecorded, bool aOwn) {
          const auto* request = FindById(id);
          if (request == nullptr) {
            return;
          }
          if (aOwn) {
            Answer(id, CallerAnswer(request->pending_), false);
            return;
          }
          auto answer = DecodeRecorded(aRecorded);
          const auto repeated = !aRecorded.body_.empty();
          if (!repeated && aRecorded.outcome_ == Outcome::NotRun) {
            answer = request->pending_;
            answer.outcome_ = Outcome::NotRun;
          }
          if (!repeated && answer.error_.message_.empty()) {
            answer.error_ = {
              .kind_ = ErrorKind::Unavailable,
              .message_ = "the table service does not answer",
              .remedy_ = "come back with the same key after the time given"
            };
          }
          if (!repeated) {
            answer.retryAfter_ = std::max(answer.retryAfter_, kRetryBusy);
          }
          Answer(id, answer, repeated);
        } },
    aNow);
}

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

auto RequestEngine::PoisonKey(const ActiveRequest& aRequest) const
  -> std::uint64_t
{
  return Fingerprint(aRequest.run_.StagePool().id_.value_,
                     aRequest.incoming_.request_.fingerprint_);
}

auto RequestEngine::Submit(ActiveRequest& aRequest, Work aWork, TimePoint aNow)
  -> void
{
  const auto id = aRequest.run_.Id();
  auto later = aRequest.run_.Forecast();
  later.erase(later.begin());
  aWork.reserve_ = dispatcher_.ServiceTime(later);
  const auto verdict = quarantine_.Judge(PoisonKey(aRequest), aNow);
  if (verdict == Verdict::Quarantined) {
    Execute(id, aRequest.run_.OnQuarantined(aNow), aNow);
  } else if (verdict == Verdict::Suspect) {
    solo_.Add(std::move(aWork));
  } else {
    dispatcher_.Submit(std::move(aWork));
  }
}

auto RequestEngine::Cancel(const AttemptId& aAttempt, TimePoint aNow) -> void
{
  caller_.Cancel(aAttempt);
  dispatcher_.Cancel(aAttempt, aNow);
  solo_.Cancel(aAttempt, aNow);
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
      Execute(request->run_.Id(), request->run_.OnLapsed(aNow), aNow);
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
  caller_.Send({ .attempt_ = work.id_,
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

auto RequestEngine::Settle(const AttemptId& aAttempt, Finish aHow,
                           TimePoint aNow) -> void
{
  if (aHow == Finish::Completed && solo_.IsRunning(aAttempt)) {
    if (const auto* request = Find(aAttempt)) {
      Publish(quarantine_.OnCleared(PoisonKey(*request)));
    }
  }
  dispatcher_.OnFinish(aAttempt, aHow, aNow);
  solo_.OnEnded(aAttempt, aHow == Finish::Failed, aNow);
}

auto RequestEngine::MakeStageEvents() -> StageEvents
{
  return {
    .onAnswer_ =
      [this](const AttemptId& aAttempt, const std::string& aBody) {
        const auto now = clock_.Now();
        Settle(aAttempt, Finish::Completed, now);
        if (auto* request = Find(aAttempt)) {
          Execute(
            request->run_.Id(),
            request->run_.OnAnswer(aAttempt, aBody, BudgetOf(*request), now),
            now);
        } else {
          metrics_.CountDropped(1);
        }
        Pump(now);
      },
    .onStreamBytes_ =
      [this](const AttemptId& aAttempt, const std::string& aBytes) {
        const auto now = clock_.Now();
        if (auto* request = Find(aAttempt)) {
          Execute(request->run_.Id(),
                  request->run_.OnStreamBytes(aAttempt, aBytes,
                                              BudgetOf(*request), now),
                  now);
        }
      },
    .onStreamEnd_ =
      [this](const AttemptId& aAttempt) {
        const auto now = clock_.Now();
        Settle(aAttempt, Finish::Completed, now);
        if (auto* request = Find(aAttempt)) {
          Execute(request->run_.Id(),
                  request->run_.OnStreamEnd(aAttempt, BudgetOf(*request), now),
                  now);
        }
        Pump(now);
      },
    .onFailure_ =
      [this](const AttemptId& aAttempt, const ServerId& aServer,
             AttemptFailure aFailure) {
        OnStageFailure(aAttempt, aServer, aFailure);
      },
    .onReply_ =
      [this](const ServerId& aServer, double aInFlight, bool aLeaving) {
        if (aInFlight >= 0.0) {
          dispatcher_.OnReport(aServer, aInFlight);
        }
        if (aLeaving) {
          downUntil_[aServer] = clock_.Now() + kDownLocally;
          CloseServers(clock_.Now());
          toControl_(ServerSeen{ aServer, ServerSeen::What::Leaving });
        }
      },
    .onForeign_ = [this] { metrics_.CountDropped(1); },
  };
}

auto RequestEngine::OnStageFailure(const AttemptId& aAttempt,
                                   const ServerId& aServer,
                                   AttemptFailure aFailure) -> void
{
  const auto now = clock_.Now();
  if (aFailure == AttemptFailure::Broken) {
    OnBroken(aAttempt, aServer);
    return;
  }
  if (aFailure == AttemptFailure::NotConnected) {
    MarkDown(aServer, now);
  }
  Fail(aAttempt, aFailure, now);
  Pump(now);
}

auto RequestEngine::Fail(const AttemptId& aAttempt, AttemptFailure aFailure,
                         TimePoint aNow) -> void
{
  Settle(aAttempt, Finish::Failed, aNow);
  auto* request = Find(aAttempt);
  if (request == nullptr) {
    return;
  }
  if (aFailure == AttemptFailure::NotWhole) {
    metrics_.CountDropped(1);
  }
  Log::Write(LogLevel::Warning, "stage attempt failed",
             { { "request", request->run_.Id().value_ },
               { "attempt", aAttempt.value_ },
               { "pool", request->run_.StagePool().id_.value_ },
               { "failure", std::string(ToString(aFailure)) } });
  Execute(request->run_.Id(),
          request->run_.OnFailure(aAttempt, aFailure, BudgetOf(*request), aNow),
          aNow);
}

// A broken connection may mean a crashed server or only a cut. What ran there
// is held against the requests only if the server is really gone.
auto RequestEngine::OnBroken(const AttemptId& aAttempt, const ServerId& aServer)
  -> void
{
  auto& waiting = broken_[aServer];
  waiting.push_back(aAttempt);
  if (waiting.size() > 1) {
    return;
  }
  const auto* server = dispatcher_.FindServer(aServer);
  http_.Send({ .method_ = "GET",
               .url_ = "http://" + server->address_ + "/healthz",
               .timeout_ = kProbeTimeout,
               .connectTimeout_ = kProbeTimeout,
               .fresh_ = true },
             { .onEnd_ = [this, aServer](const HttpReply& aReply) {
               OnProbed(aServer, aReply.end_ == HttpEnd::Answered);
             } });
}

auto RequestEngine::OnProbed(const ServerId& aServer, bool aAlive) -> void
{
  const auto now = clock_.Now();
  const auto attempts = std::exchange(broken_[aServer], {});
  if (!aAlive) {
    MarkDown(aServer, now);
    std::vector<std::uint64_t> suspects;
    auto alone = false;
    for (const auto& attempt : attempts) {
      if (const auto* request = Find(attempt)) {
        suspects.push_back(PoisonKey(*request));
        alone = alone || solo_.IsRunning(attempt);
      }
    }
    Log::Write(LogLevel::Warning, "backend server crashed",
               { { "server", aServer.value_ },
                 { "in_flight", std::to_string(suspects.size()) },
                 { "alone", alone ? "yes" : "no" } });
    Publish(quarantine_.OnCrash(suspects, alone && suspects.size() == 1, now));
  }
  for (const auto& attempt : attempts) {
    Fail(attempt, aAlive ? AttemptFailure::Broken : AttemptFailure::Crashed,
         now);
  }
  Pump(now);
}

auto RequestEngine::Publish(const std::vector<PoisonNews>& aNews) -> void
{
  for (const auto& news : aNews) {
    metrics_.CountPoison(news.verdict_ == Verdict::Quarantined ? "quarantined"
                         : news.verdict_ == Verdict::Suspect   ? "suspect"
                                                               : "cleared");
  }
  if (!aNews.empty()) {
    toControl_(PoisonFound{ aNews });
  }
}

auto RequestEngine::MarkDown(const ServerId& aServer, TimePoint aNow) -> void
{
  downUntil_[aServer] = aNow + kDownLocally;
  CloseServers(aNow);
  toControl_(ServerSeen{ aServer, ServerSeen::What::Down });
}

auto RequestEngine::CloseServers(TimePoint aNow) -> void
{
  std::erase_if(downUntil_,
                [aNow](const auto& aItem) { return aItem.second <= aNow; });
  auto closed = view_->closed_;
  for (const auto& [server, until] : downUntil_) {
    closed.insert(server);
  }
  if (!solo_.Server().Empty()) {
    closed.insert(solo_.Server());
  }
  for (const auto& server : closed_) {
    if (!closed.contains(server)) {
      dispatcher_.SetClosed(server, false);
    }
  }
  for (const auto& server : closed) {
    dispatcher_.SetClosed(server, true);
  }
  closed_ = std::move(closed);
}

auto RequestEngine::Adopt(ControlViewPtr aView) -> void
{
  const auto newConfig = aView->config_->Number() != view_->config_->Number();
  view_ = std::move(aView);
  if (newConfig) {
    dispatcher_.Adopt(view_->config_->Content());
  }
  once_.SetView(view_);
  CloseServers(clock_.Now());
}

auto RequestEngine::OnPeerLoad(const HostLoad& aLoad) -> void
{
  dispatcher_.OnPeerLoad(aLoad, clock_.Now());
}

auto RequestEngine::OnPeerGone(const HostId& aHost) -> void
{
  dispatcher_.OnPeerGone(aHost);
}

auto RequestEngine::OnPoisonNews(const std::vector<PoisonNews>& aNews) -> void
{
  for (const auto& news : aNews) {
    quarantine_.OnNews(news, clock_.Now());
  }
}

} // namespace goldcrestcroft

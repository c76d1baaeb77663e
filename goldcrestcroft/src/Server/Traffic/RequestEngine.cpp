#include "RequestEngine.h"

#include "../../Observability/Log.h"

namespace goldcrestcroft {

namespace {

constexpr Duration kRetryAfterBusy = std::chrono::seconds{ 1 };

auto RequestOf(const AttemptId& aAttempt) -> RequestId
{
  return { aAttempt.value_.substr(0, aAttempt.value_.find('.')) };
}

} // namespace

RequestEngine::RequestEngine(Options aOptions, HttpClient& aHttp,
                             PlatformTable& aTable, Metrics& aMetrics,
                             std::function<void(ControlMessage)> aToControl)
  : options_(std::move(aOptions))
  , metrics_(aMetrics)
  , http_(aHttp)
  , toControl_(std::move(aToControl))
  , dispatcher_({ .host_ = options_.settings_.host_,
                  .zone_ = options_.settings_.zone_,
                  .overcommit_ = options_.settings_.backends_.overcommit_ },
                CorrectedLoadRouting(), options_.seed_)
  , stageClient_(aHttp, options_.settings_.backends_.connect_,
                 MakeStageEvents())
  , once_(options_.settings_.once_, aTable)
  , quarantine_({})
  , suspectRunner_(
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
          [this](const WorkItem& aWork, const ServerId& aServer) {
            const auto now = clock_.Now();
            Dispatch(dispatcher_.StartAt(aWork, aServer, now), now);
          },
        .refuse_ =
          [this](const WorkItem& aWork) {
            const auto now = clock_.Now();
            if (auto* request = Find(aWork.id_)) {
              Execute(request->run_.Id(),
                      request->run_.OnInfeasible(kRetryAfterBusy, now), now);
            }
          },
        .onReserved_ =
          [this](const ServerId& aServer) {
            UpdateClosedServers(clock_.Now());
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

auto RequestEngine::Refuse(IncomingRequest& aIncoming, RequestResult aResult,
                           const std::string& aReason) -> void
{
  metrics_.CountRefused(aReason);
  // The table row has not been read yet. Only if the caller states that this is
  // the first submission of the key is it certain that nothing ran.
  const auto& request = aIncoming.request_;
  if (!request.idempotent_ && !request.firstSubmission_) {
    aResult.outcome_ = Outcome::Unknown;
  }
  metrics_.CountRequest(request.pipeline_, aResult.outcome_,
                        clock_.Now() - aIncoming.arrivedAt_);
  aIncoming.reply_.Send(
    BuildResponse(aResult, { .request_ = aIncoming.id_,
                             .version_ = request.config_->Number() }));
}

auto RequestEngine::IsQuarantined(const CheckedRequest& aRequest,
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
                   kRetryAfterBusy),
           "too_many");
    return;
  }
  if (IsQuarantined(aRequest.request_, now)) {
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
    BeginNonIdempotent(request, now);
  }
  Pump(now);
}

auto RequestEngine::BeginNonIdempotent(ActiveRequest& aRequest, TimePoint aNow)
  -> void
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
            request->claimedAt_ = now;
            Execute(id, request->run_.Begin(now), now);
            Pump(now);
          }
        },
      .onAnswer_ =
        [this, id](const RecordedResponse& aRecorded, bool aFromThisRun) {
          const auto* request = FindById(id);
          if (request == nullptr) {
            return;
          }
          if (aFromThisRun) {
            Respond(id, RequestResult(request->pendingResult_), false);
            return;
          }
          auto result = DecodeRecorded(aRecorded);
          const auto replayed = !aRecorded.body_.empty();
          if (!replayed && aRecorded.outcome_ == Outcome::NotRun) {
            result = request->pendingResult_;
            result.outcome_ = Outcome::NotRun;
          }
          if (!replayed && result.error_.message_.empty()) {
            result.error_ = {
              .kind_ = ErrorKind::Unavailable,
              .message_ = "the table service does not answer",
              .remedy_ = "come back with the same key after the time given"
            };
          }
          if (!replayed) {
            result.retryAfter_ = std::max(result.retryAfter_, kRetryAfterBusy);
          }
          Respond(id, result, replayed);
        } },
    aNow);
}

auto RequestEngine::Adopt(ControlViewPtr aView) -> void
{
  const auto newConfig = aView->config_->Number() != view_->config_->Number();
  view_ = std::move(aView);
  if (newConfig) {
    dispatcher_.Adopt(view_->config_->Content());
  }
  once_.SetView(view_);
  UpdateClosedServers(clock_.Now());
}

auto RequestEngine::OnPeerLoad(const HostLoad& aLoad) -> void
{
  dispatcher_.OnPeerLoad(aLoad, clock_.Now());
}

auto RequestEngine::OnPeerGone(const HostId& aHost) -> void
{
  dispatcher_.OnPeerGone(aHost);
}

auto RequestEngine::OnQuarantineUpdates(
  const std::vector<QuarantineUpdate>& aUpdates) -> void
{
  const auto now = clock_.Now();
  for (const auto& update : aUpdates) {
    quarantine_.OnUpdate(update, now);
  }
  FailQuarantinedSuspects(now);
}

auto RequestEngine::FailQuarantinedSuspects(TimePoint aNow) -> void
{
  const auto ended = suspectRunner_.TakeIf([&](const WorkItem& aWork) {
    const auto* request = Find(aWork.id_);
    return request != nullptr &&
           quarantine_.Judge(QuarantineKey(*request), aNow) ==
             Verdict::Quarantined;
  });
  for (const auto& work : ended) {
    if (auto* request = Find(work.id_)) {
      Execute(request->run_.Id(), request->run_.OnQuarantined(aNow), aNow);
    }
  }
}

} // namespace goldcrestcroft

#include "../../Observability/Log.h"
#include "RequestEngine.h"

#include <nlohmann/json.hpp>

namespace goldcrestcroft {

namespace {

constexpr Duration kDispatcherPeriod = std::chrono::milliseconds{ 50 };
constexpr Duration kRetryAfterInfeasible = std::chrono::milliseconds{ 500 };

auto Event(std::string_view aName, const std::string& aData) -> std::string
{
  std::string event;
  if (!aName.empty()) {
    event.append("event: ").append(aName).append("\n");
  }
  return event.append("data: ").append(aData).append("\n\n");
}

} // namespace

auto RequestEngine::Emit(ActiveRequest& aRequest, const std::string& aText)
  -> void
{
  auto& reply = aRequest.incoming_.reply_;
  if (!aRequest.incoming_.request_.streamed_) {
    return;
  }
  if (!reply.HasBegun()) {
    reply.Begin(
      { .contentType_ = "text/event-stream",
        .headers_ = { "x-request-id: " + aRequest.run_.Id().value_,
                      "traceparent: " + aRequest.span_.ToHeader() } });
  }
  reply.Chunk(
    Event("", nlohmann::json{ { "text", aText } }.dump(
                -1, ' ', false, nlohmann::json::error_handler_t::replace)));
}

auto RequestEngine::OnRunFinished(ActiveRequest& aRequest,
                                  RequestResult aResult, TimePoint aNow) -> void
{
  const auto id = aRequest.run_.Id();
  metrics_.CountDropped(aRequest.run_.Dropped());
  if (aRequest.onceAttempt_.Empty()) {
    Respond(id, aResult, false);
    return;
  }
  const auto attempt = aRequest.onceAttempt_;
  aRequest.pendingResult_ = aResult;
  if (once_.IsRunning(attempt)) {
    once_.Finish(attempt, EncodeRecorded(aResult), aNow);
  } else {
    once_.Refuse(attempt, aNow);
  }
}

auto RequestEngine::Respond(const RequestId& aId, const RequestResult& aResult,
                            bool aReplayed) -> void
{
  const auto node = requests_.extract(aId);
  if (node.empty()) {
    return;
  }
  auto& request = *node.mapped();
  const auto now = clock_.Now();
  if (!request.run_.IsDone()) {
    Cancel(request.run_.ActiveAttempt(), now);
  }
  auto& reply = request.incoming_.reply_;
  if (view_->forgotten_) {
    reply.SetClose();
  }
  const ResponseContext context{ .request_ = aId,
                                 .version_ =
                                   request.incoming_.request_.config_->Number(),
                                 .traceparent_ = request.span_.ToHeader(),
                                 .hops_ = request.run_.Hops(),
                                 .repeated_ = aReplayed };
  if (reply.HasBegun()) {
    // Only the last event tells the caller whether the stream is complete.
    reply.Chunk(Event(aResult.outcome_ == Outcome::Completed ? "done" : "error",
                      EncodeResponseBody(aResult, context)));
    reply.End();
  } else {
    reply.Send(BuildResponse(aResult, context));
  }
  if (reply.Socket()->PendingWriteDescriptor() >= 0) {
    unflushed_.push_back(reply.Socket());
  }
  metrics_.CountRequest(request.incoming_.request_.pipeline_, aResult.outcome_,
                        now - request.incoming_.arrivedAt_);
  RecordTrace(request, aResult);
  Log::Write(aResult.outcome_ == Outcome::Completed ? LogLevel::Debug
                                                    : LogLevel::Warning,
             "request ended",
             { { "request", aId.value_ },
               { "workspace", request.run_.Workspace().value_ },
               { "outcome", ToString(aResult.outcome_) },
               { "reason", aResult.error_.message_ } });
}

auto RequestEngine::RecordTrace(const ActiveRequest& aRequest,
                                const RequestResult& aResult) -> void
{
  for (const auto& hop : aRequest.run_.Hops()) {
    if (hop.sentAt_ != TimePoint{}) {
      metrics_.CountAttempt(
        aRequest.run_.PoolOfStage(hop.stage_), hop.result_,
        std::max(hop.endedAt_ - hop.sentAt_, Duration{ 0 }));
    }
  }
  if (options_.settings_.collector_.empty() || !TrySampleTrace()) {
    return;
  }
  const auto arrived = aRequest.incoming_.arrivedAt_;
  const auto wall = [&](TimePoint aTime) {
    return aRequest.startedAt_ + (aTime - arrived);
  };
  const auto& parent = aRequest.incoming_.request_.parent_;
  std::vector<Span> spans;
  spans.push_back(
    { .context_ = aRequest.span_,
      .parentSpanId_ = parent ? parent->spanId_ : "",
      .name_ = "request",
      .start_ = wall(arrived),
      .end_ = wall(clock_.Now()),
      .failed_ = aResult.outcome_ != Outcome::Completed,
      .attributes_ = {
        { "request", aRequest.run_.Id().value_ },
        { "workspace", aRequest.run_.Workspace().value_ },
        { "pipeline", aRequest.incoming_.request_.pipeline_.value_ },
        { "outcome", ToString(aResult.outcome_) } } });
  if (aRequest.claimedAt_ != TimePoint{}) {
    spans.push_back(
      { .context_ = MakeSpan(aRequest.span_, dispatcher_.Random()),
        .parentSpanId_ = aRequest.span_.spanId_,
        .name_ = "claim in the table service",
        .start_ = wall(arrived),
        .end_ = wall(aRequest.claimedAt_) });
  }
  for (const auto& hop : aRequest.run_.Hops()) {
    const auto sent = hop.sentAt_ != TimePoint{};
    spans.push_back(
      { .context_ = MakeSpan(aRequest.span_, dispatcher_.Random()),
        .parentSpanId_ = aRequest.span_.spanId_,
        .name_ = "wait " + hop.stage_,
        .start_ = wall(hop.queuedAt_),
        .end_ = wall(sent ? hop.sentAt_ : hop.endedAt_) });
    const auto span = aRequest.hopSpans_.find(hop.attempt_);
    if (sent && span != aRequest.hopSpans_.end()) {
      spans.push_back({ .context_ = span->second,
                        .parentSpanId_ = aRequest.span_.spanId_,
                        .name_ = hop.stage_,
                        .start_ = wall(hop.sentAt_),
                        .end_ = wall(hop.endedAt_),
                        .failed_ = hop.result_ != "ok",
                        .attributes_ = { { "server", hop.server_.value_ },
                                         { "attempt", hop.attempt_.value_ },
                                         { "result", hop.result_ } } });
    }
  }
  toControl_(SpansEnded{ std::move(spans) });
}

auto RequestEngine::TrySampleTrace() -> bool
{
  constexpr Duration kPeriod = std::chrono::seconds{ 1 };
  const auto now = clock_.Now();
  if (now - tracePeriodStart_ >= kPeriod) {
    tracePeriodStart_ = now;
    tracesInPeriod_ = 0;
  }
  return tracesInPeriod_++ < options_.settings_.tracesPerSecond_;
}

auto RequestEngine::TryHedge(ActiveRequest& aRequest, TimePoint aNow) -> void
{
  auto& run = aRequest.run_;
  const auto& pool = run.StagePool();
  const auto expected =
    dispatcher_.ExpectedService(pool.id_, StageSize(pool.kind_, run.Data()));
  if (!run.WantsHedge(expected, aNow) ||
      suspectRunner_.IsRunning(run.ActiveAttempt()) ||
      !BudgetOf(aRequest).TryTake()) {
    return;
  }
  const auto original = run.ActiveAttempt();
  const auto assignment =
    dispatcher_.Hedge(original, run.MakeAttemptId(), aNow);
  if (!assignment) {
    return;
  }
  metrics_.CountHedge(pool.id_);
  run.OnHedged(assignment->work_.id_, assignment->server_, aNow);
  CallStage(aRequest, *assignment, aNow);
}

auto RequestEngine::TickRequests(TimePoint aNow) -> void
{
  std::vector<RequestId> ids;
  ids.reserve(requests_.size());
  for (const auto& [id, request] : requests_) {
    ids.push_back(id);
  }
  for (const auto& id : ids) {
    auto* request = FindById(id);
    if (request == nullptr) {
      continue;
    }
    if (request->incoming_.reply_.CallerGone()) {
      Execute(id, request->run_.OnCallerGone(aNow), aNow);
    } else if (aNow >= request->run_.Deadline()) {
      Execute(id, request->run_.OnTick(aNow), aNow);
    } else {
      TryHedge(*request, aNow);
    }
  }
}

auto RequestEngine::Tick() -> void
{
  const auto now = clock_.Now();
  for (const auto& late : dispatcher_.TakeInfeasible(now)) {
    if (auto* request = Find(late.id_)) {
      Execute(request->run_.Id(),
              request->run_.OnInfeasible(kRetryAfterInfeasible, now), now);
    }
  }
  TickRequests(now);
  once_.Tick(now);
  suspectRunner_.Tick(now);
  if (now >= nextDispatcherTick_) {
    nextDispatcherTick_ = now + kDispatcherPeriod;
    dispatcher_.Tick(now);
    UpdateClosedServers(now);
    metrics_.SetWaiting(dispatcher_.Waiting(), dispatcher_.InFlight());
  }
  if (now >= nextExport_) {
    nextExport_ = now + options_.settings_.peers_.heartbeat_ / 2;
    toControl_(LoadExported{ dispatcher_.ExportLoad() });
  }
  Pump(now);
}

auto RequestEngine::SocketsAwaitingWrite()
  -> std::vector<std::shared_ptr<CallerSocket>>
{
  std::erase_if(unflushed_, [](const auto& aSocket) {
    return aSocket->PendingWriteDescriptor() < 0;
  });
  auto blocked = unflushed_;
  for (const auto& [id, request] : requests_) {
    const auto& socket = request->incoming_.reply_.Socket();
    if (socket->PendingWriteDescriptor() >= 0) {
      blocked.push_back(socket);
    }
  }
  return blocked;
}

} // namespace goldcrestcroft

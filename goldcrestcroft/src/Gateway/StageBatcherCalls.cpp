#include "../Observability/Log.h"
#include "BackgroundTask.h"
#include "StageBatcher.h"

#include <sstream>

namespace goldcrestcroft {

namespace {

/** Status from an engine that has no capacity for the call and did not run
 * it. */
constexpr auto kEngineFull = 503;
/** Responses to calls are far smaller. */
constexpr std::size_t kMaxResponseBytes = 1U << 20U;
constexpr auto kSuccess = 200;
/** Duplicates of earlier responses that are skipped before the expected one; an
 * engine that sends more is unhealthy. */
constexpr auto kMaxDuplicates = 4;

} // namespace

auto StageBatcher::MakeCall(Service& aService,
                            const std::vector<PieceTicket>& aTickets) -> Call
{
  const auto now = clock_.Now();
  Call call{ .tickets_ = aTickets };
  for (const auto& ticket : aTickets) {
    const auto* order = aService.queue_.Find(ticket.order_);
    call.pieces_.push_back({ .requestId_ = order->requestId_,
                             .stage_ = order->stage_,
                             .piece_ = ticket.piece_,
                             .timeLeft_ = order->deadline_ - now,
                             .key_ = order->key_,
                             .inputs_ = order->inputs_ });
    call.bytes_.push_back(order->resultBytes_);
  }
  return call;
}

auto StageBatcher::WriteCall(const EngineLease& aLease, const EngineCall& aCall,
                             Duration aTimeout) -> Task<bool>
{
  const auto& entry = aLease.engine_->entry_;
  http::request<http::string_body> request(http::string_to_verb(aCall.method_),
                                           aCall.path_, 11, aCall.body_);
  request.set(http::field::host, entry.address_);
  request.set(http::field::content_type, aCall.contentType_);
  request.set(codec_.Headers().expectEngine_, entry.id_);
  request.prepare_payload();
  std::ostringstream bytes;
  bytes << request;
  aLease.connection_->CloseAfter(aTimeout);
  auto text = std::move(bytes).str();
  co_return co_await aLease.connection_->BeginWrite(std::move(text));
}

auto StageBatcher::ReadResponse(EngineLease aLease) -> Task<Response>
{
  EngineExchange exchange(aLease, codec_.Headers(), pool_.Memory());
  Response response;
  auto end = co_await exchange.ReadHead("", false);
  if (end == ReadOutcome::Done) {
    pool_.UpdateAvailability(aLease, exchange.Head());
    end = co_await exchange.ReadAll(response.body_, kMaxResponseBytes);
  }
  if (const auto bound = exchange.ExceededLimit();
      bound != ResponseLimit::None) {
    pool_.CountCut(ToString(bound));
    Log::Write(LogLevel::Info, "stage_answer_cut",
               { { "engine", aLease.engine_->entry_.id_ },
                 { "bound", ToString(bound) },
                 { "remedy", Remedy(bound) } });
  }
  if (exchange.Defect() != ResponseDefect::None) {
    const auto defect = ToString(exchange.Defect());
    pool_.CountInvalid(defect);
    Log::Write(
      LogLevel::Info, "stage_response_invalid",
      { { "engine", aLease.engine_->entry_.id_ }, { "invalid", defect } });
  }
  if (end == ReadOutcome::Broken) {
    pool_.NoteBroken(aLease);
  }
  if (end == ReadOutcome::Done) {
    response.status_ = exchange.Head().status_;
    response.reusable_ = exchange.IsReusable();
    response.keepFor_ = exchange.Head().keepFor_;
  }
  co_return response;
}

auto StageBatcher::ReturnConnection(const EngineLease& aLease,
                                    const Response& aResponse) -> void
{
  if (aResponse.reusable_) {
    pool_.Keep(aLease, aResponse.keepFor_);
  } else {
    pool_.Drop(aLease);
  }
}

auto StageBatcher::Decode(const Response& aResponse, std::size_t aPieces) const
  -> std::vector<PieceResult>
{
  if (aResponse.status_ != kSuccess) {
    return {};
  }
  return Handle(
    [&] { return codec_.DecodeStageResponse(aResponse.body_, aPieces); },
    [](const Error& aError) {
      Log::Write(LogLevel::Warning, "stage_answer_unreadable",
                 { { "reason", aError.message_ } });
      return std::vector<PieceResult>{};
    });
}

auto StageBatcher::ReadCallResponse(EngineLease aLease, Engine& aEngine,
                                    std::size_t aPieces) -> Task<CallResponse>
{
  for (auto duplicates = 0; duplicates <= kMaxDuplicates; ++duplicates) {
    auto response = co_await ReadResponse(aLease);
    auto pieces = Decode(response, aPieces);
    if (aEngine.duplicates_.IsDuplicate(pieces)) {
      pool_.Count("stage_answer_copies");
      Log::Write(LogLevel::Info, "stage_answer_copy",
                 { { "engine", aLease.engine_->entry_.id_ } });
      continue;
    }
    aEngine.duplicates_.Add(pieces);
    // A duplicate of a response without results could not be distinguished from
    // the next response.
    response.reusable_ =
      response.reusable_ && DuplicateResponseDetector::IsRecognizable(pieces);
    ReturnConnection(aLease, response);
    co_return CallResponse{ .status_ = response.status_,
                            .pieces_ = std::move(pieces) };
  }
  pool_.Drop(aLease);
  co_return CallResponse{};
}

auto StageBatcher::Exchange(const StageProfile& aProfile, Engine& aEngine,
                            const Call& aCall) -> Task<std::vector<PieceResult>>
{
  // Encoded before a connection is taken, since an exception would not return
  // the connection to the pool.
  const auto call = codec_.MakeStageCall(aCall.pieces_);
  const auto lease = co_await pool_.Open(aEngine.state_);
  if (lease.denied_) {
    co_return std::vector<PieceResult>(aCall.pieces_.size(),
                                       { .end_ = PieceOutcome::EngineFull });
  }
  if (!lease.connection_) {
    co_return std::vector<PieceResult>{};
  }
  const auto expected =
    aProfile.callTime_ +
    aProfile.pieceTime_ * static_cast<Duration::rep>(aCall.pieces_.size());
  const auto timeout =
    Duration(static_cast<Duration::rep>(static_cast<double>(expected.count()) *
                                        options_.callTimeoutFactor_)) +
    options_.callSlack_;
  const auto startedAt = clock_.Now();
  const auto written = co_await WriteCall(lease, call, timeout);
  const auto inFlight = std::make_shared<const CallInFlight>();
  if (aEngine.exclusiveUse_.IsConfirmed(startedAt)) {
    asio::co_spawn(context_, ReportBegun(inFlight, aCall.tickets_),
                   LogFailure{ "tell_begun" });
  }
  CallResponse response;
  if (written) {
    response = co_await ReadCallResponse(lease, aEngine, aCall.pieces_.size());
  } else {
    pool_.Drop(lease);
  }
  const auto status = response.status_;
  if (status == kEngineFull) {
    OnEngineFull(aEngine);
    co_return std::vector<PieceResult>(aCall.pieces_.size(),
                                       { .end_ = PieceOutcome::EngineFull });
  }
  aEngine.consecutiveFull_ = 0;
  auto results = std::move(response.pieces_);
  if (results.empty()) {
    Log::Write(
      LogLevel::Info, "stage_call_failed",
      { { "engine", aEngine.state_->entry_.id_ },
        { "status", std::to_string(status) },
        { "timed_out", lease.connection_->TimedOut() ? "true" : "false" },
        { "pieces", std::to_string(aCall.pieces_.size()) } });
    pool_.OnFailure(*aEngine.state_,
                    status == 0 ? EngineFailure::Unreachable
                                : EngineFailure::Failed,
                    startedAt);
  } else {
    aEngine.state_->health_.OnSuccess();
    aEngine.lastCallTime_ = clock_.Now() - startedAt;
    aEngine.exclusiveUse_.OnCall(aEngine.lastCallTime_, expected, clock_.Now());
  }
  co_return results;
}

auto StageBatcher::OnEngineFull(Engine& aEngine) -> void
{
  const auto pause = Doubled(options_.fullPause_, aEngine.consecutiveFull_++,
                             options_.maxFullPause_);
  aEngine.pausedUntil_ = clock_.Now() + pause;
  aEngine.exclusiveUse_.OnContention(clock_.Now());
  Log::Write(LogLevel::Info, "stage_engine_full",
             { { "engine", aEngine.state_->entry_.id_ },
               { "times", std::to_string(aEngine.consecutiveFull_) },
               { "pause_ms", std::to_string(ToMilliseconds(pause)) } });
}

auto StageBatcher::ReportBegun(std::weak_ptr<const CallInFlight> aCall,
                               std::vector<PieceTicket> aTickets) -> Task<void>
{
  asio::steady_timer timer(context_, options_.fetchTime_);
  co_await timer.async_wait(kAsTuple);
  if (aCall.expired()) {
    co_return;
  }
  std::map<std::uint64_t, std::vector<PieceResult>> byOrder;
  for (const auto& ticket : aTickets) {
    byOrder[ticket.order_].push_back(
      { .piece_ = ticket.piece_, .end_ = PieceOutcome::Begun });
  }
  for (auto& [order, results] : byOrder) {
    Report(order, std::move(results));
  }
}

auto StageBatcher::RunCall(std::string aService,
                           std::shared_ptr<Engine> aEngine, Call aCall)
  -> Task<void>
{
  const auto found = services_.find(aService);
  const auto profile = found->second.profile_;
  std::vector<PieceResult> results;
  try {
    results = co_await Exchange(profile, *aEngine, aCall);
  } catch (const std::exception& problem) {
    // The engine becomes free again below, whatever failed here.
    Log::Write(LogLevel::Error, "stage_call_threw",
               { { "engine", aEngine->state_->entry_.id_ },
                 { "reason", problem.what() } });
  }
  aEngine->busy_ = false;
  if (auto* service = Find(aService)) {
    if (!results.empty() && results.front().end_ != PieceOutcome::EngineFull) {
      service->rate_.OnCall(results.size(), aEngine->lastCallTime_,
                            RatePlan(*service));
    }
    Settle(*service, *aEngine, aCall, results);
    Dispatch(*service);
  }
}

} // namespace goldcrestcroft

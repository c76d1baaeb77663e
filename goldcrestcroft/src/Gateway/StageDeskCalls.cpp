#include "../Observability/Log.h"
#include "BackgroundTask.h"
#include "StageDesk.h"

#include <sstream>

namespace goldcrestcroft {

namespace {

/** Status of an engine without a place for the call, which has not run. */
constexpr auto kEngineFull = 503;
/** Answers about a call's pieces are far smaller. */
constexpr std::size_t kMaxAnswerBytes = 1U << 20U;
constexpr auto kSuccess = 200;
/** Copies of earlier answers before the one that is awaited; an engine that
 * sends more is not well. */
constexpr auto kMostCopies = 4;

} // namespace

auto StageDesk::MakeCall(Service& aService,
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

auto StageDesk::WriteCall(const EngineLease& aLease, const EngineCall& aCall,
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

auto StageDesk::ReadAnswer(EngineLease aLease) -> Task<Answer>
{
  EngineExchange exchange(aLease, codec_.Headers(), pool_.Held());
  Answer answer;
  auto end = co_await exchange.ReadHead("", false);
  if (end == ReadEnd::Done) {
    pool_.Heed(aLease, exchange.Head());
    end = co_await exchange.ReadAll(answer.body_, kMaxAnswerBytes);
  }
  if (const auto bound = exchange.Passed(); bound != AnswerBound::None) {
    pool_.CountCut(ToString(bound));
    Log::Write(LogLevel::Info, "stage_answer_cut",
               { { "engine", aLease.engine_->entry_.id_ },
                 { "bound", ToString(bound) },
                 { "remedy", Remedy(bound) } });
  }
  if (end == ReadEnd::Broken) {
    pool_.NoteBroken(aLease);
  }
  if (end == ReadEnd::Done) {
    answer.status_ = exchange.Head().status_;
    answer.reusable_ = exchange.IsReusable();
    answer.keepFor_ = exchange.Head().keepFor_;
  }
  co_return answer;
}

auto StageDesk::PutBack(const EngineLease& aLease, const Answer& aAnswer)
  -> void
{
  if (aAnswer.reusable_) {
    pool_.Keep(aLease, aAnswer.keepFor_);
  } else {
    pool_.Drop(aLease);
  }
}

auto StageDesk::Decode(const Answer& aAnswer, std::size_t aPieces) const
  -> std::vector<PieceResult>
{
  if (aAnswer.status_ != kSuccess) {
    return {};
  }
  return Handle(
    [&] { return codec_.DecodeStageAnswer(aAnswer.body_, aPieces); },
    [](const Error& aError) {
      Log::Write(LogLevel::Warning, "stage_answer_unreadable",
                 { { "reason", aError.message_ } });
      return std::vector<PieceResult>{};
    });
}

auto StageDesk::ReadCallAnswer(EngineLease aLease, Engine& aEngine,
                               std::size_t aPieces) -> Task<CallAnswer>
{
  for (auto copies = 0; copies <= kMostCopies; ++copies) {
    auto answer = co_await ReadAnswer(aLease);
    auto pieces = Decode(answer, aPieces);
    if (aEngine.copies_.IsCopy(pieces)) {
      pool_.Count("stage_answer_copies");
      Log::Write(LogLevel::Info, "stage_answer_copy",
                 { { "engine", aLease.engine_->entry_.id_ } });
      continue;
    }
    aEngine.copies_.Add(pieces);
    // A copy of any other answer could not be told from the next one.
    answer.reusable_ = answer.reusable_ && AnswerCopies::IsTellable(pieces);
    PutBack(aLease, answer);
    co_return CallAnswer{ .status_ = answer.status_,
                          .pieces_ = std::move(pieces) };
  }
  pool_.Drop(aLease);
  co_return CallAnswer{};
}

auto StageDesk::Exchange(const StageProfile& aProfile, Engine& aEngine,
                         const Call& aCall) -> Task<std::vector<PieceResult>>
{
  // Before a connection is taken, which an exception would not give back.
  const auto call = codec_.MakeStageCall(aCall.pieces_);
  const auto lease = co_await pool_.Open(aEngine.state_);
  if (lease.denied_) {
    co_return std::vector<PieceResult>(aCall.pieces_.size(),
                                       { .end_ = PieceEnd::EngineFull });
  }
  if (!lease.connection_) {
    co_return std::vector<PieceResult>{};
  }
  const auto expected =
    aProfile.callTime_ +
    aProfile.pieceTime_ * static_cast<Duration::rep>(aCall.pieces_.size());
  const auto timeout =
    Duration(static_cast<Duration::rep>(static_cast<double>(expected.count()) *
                                        options_.callPatience_)) +
    options_.callSlack_;
  const auto startedAt = clock_.Now();
  const auto written = co_await WriteCall(lease, call, timeout);
  const auto atWork = std::make_shared<const AtWork>();
  if (aEngine.sole_.IsProved(startedAt)) {
    asio::co_spawn(context_, TellBegun(atWork, aCall.tickets_),
                   LogFailure{ "tell_begun" });
  }
  CallAnswer answer;
  if (written) {
    answer = co_await ReadCallAnswer(lease, aEngine, aCall.pieces_.size());
  } else {
    pool_.Drop(lease);
  }
  const auto status = answer.status_;
  if (status == kEngineFull) {
    OnFull(aEngine);
    co_return std::vector<PieceResult>(aCall.pieces_.size(),
                                       { .end_ = PieceEnd::EngineFull });
  }
  aEngine.timesFull_ = 0;
  auto& health = aEngine.state_->health_;
  auto results = std::move(answer.pieces_);
  if (results.empty()) {
    health.OnFailure(clock_.Now());
    Log::Write(
      LogLevel::Info, "stage_call_failed",
      { { "engine", aEngine.state_->entry_.id_ },
        { "status", std::to_string(status) },
        { "timed_out", lease.connection_->TimedOut() ? "true" : "false" },
        { "pieces", std::to_string(aCall.pieces_.size()) } });
    if (status == 0) {
      health.OnUnreachable(clock_.Now());
    }
  } else {
    health.OnSuccess();
    aEngine.lastCall_ = clock_.Now() - startedAt;
    aEngine.sole_.OnCall(aEngine.lastCall_, expected, clock_.Now());
  }
  co_return results;
}

auto StageDesk::OnFull(Engine& aEngine) -> void
{
  const auto pause = Doubled(options_.fullPause_, aEngine.timesFull_++,
                             options_.longestFullPause_);
  aEngine.pausedUntil_ = clock_.Now() + pause;
  aEngine.sole_.OnDoubt(clock_.Now());
  Log::Write(LogLevel::Info, "stage_engine_full",
             { { "engine", aEngine.state_->entry_.id_ },
               { "times", std::to_string(aEngine.timesFull_) },
               { "pause_ms", std::to_string(ToMilliseconds(pause)) } });
}

auto StageDesk::TellBegun(std::weak_ptr<const AtWork> aCall,
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
      { .piece_ = ticket.piece_, .end_ = PieceEnd::Begun });
  }
  for (auto& [order, results] : byOrder) {
    Report(order, std::move(results));
  }
}

auto StageDesk::RunCall(std::string aService, std::shared_ptr<Engine> aEngine,
                        Call aCall) -> Task<void>
{
  const auto found = services_.find(aService);
  const auto profile = found->second.profile_;
  std::vector<PieceResult> results;
  try {
    results = co_await Exchange(profile, *aEngine, aCall);
  } catch (const std::exception& problem) {
    // The engine is free again, whatever failed here.
    Log::Write(LogLevel::Error, "stage_call_threw",
               { { "engine", aEngine->state_->entry_.id_ },
                 { "reason", problem.what() } });
  }
  aEngine->busy_ = false;
  if (auto* service = Find(aService)) {
    if (!results.empty() && results.front().end_ != PieceEnd::EngineFull) {
      service->rate_.OnCall(results.size(), aEngine->lastCall_,
                            RatePlan(*service));
    }
    Settle(*service, *aEngine, aCall, results);
    Kick(*service);
  }
}

} // namespace goldcrestcroft

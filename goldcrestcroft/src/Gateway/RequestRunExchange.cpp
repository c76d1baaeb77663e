#include "../Observability/Log.h"
#include "RequestRun.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** A full engine refuses within this time: a round trip between zones and its
 * own processing. Two engines may hold the request for as long. */
constexpr Duration kRefusalTimeout = std::chrono::milliseconds{ 100 };
/** Minimum time for a response head, so that attempts are not parked and
 * resumed in quick succession. */
constexpr Duration kMinHeadTimeout = std::chrono::milliseconds{ 250 };

auto IsSuccess(ReadEnd aEnd, const EngineAnswerHead& aHead) -> bool
{
  return aEnd == ReadEnd::Done && aHead.status_ >= 200 && aHead.status_ < 300 &&
         aHead.signed_;
}

auto IsRefusal(ReadEnd aEnd, const EngineAnswerHead& aHead) -> bool
{
  return aEnd == ReadEnd::Done && aHead.notRun_;
}

} // namespace

auto RequestRun::ReportExceededBound(const EngineLease& aLease,
                                     AnswerBound aBound) -> void
{
  if (aBound == AnswerBound::None) {
    return;
  }
  traffic_.Pool().CountCut(ToString(aBound));
  Log::Write(LogLevel::Info, "engine_answer_cut",
             { { "request", requestId_ },
               { "engine", aLease.engine_->entry_.id_ },
               { "bound", ToString(aBound) },
               { "remedy", Remedy(aBound) } });
}

auto RequestRun::ReportLostRun(const EngineLease& aLease, TimePoint aBegan)
  -> void
{
  const auto& entry = aLease.engine_->entry_;
  const auto& connection = *aLease.connection_;
  const auto broke =
    aborted_ == Aborted::No && !connection.TimedOut() && !connection.IsPaused();
  const LostRun run{ .request_ = fingerprint_,
                     .run_ = Fingerprint(requestId_, ++lostRuns_),
                     .began_ = aBegan,
                     .ended_ = traffic_.Now() };
  Log::Write(LogLevel::Info, "run_lost",
             { { "request", requestId_ },
               { "fingerprint", ToHex(fingerprint_) },
               { "run", ToHex(run.run_) },
               { "engine", entry.id_ },
               { "started_at", std::to_string(entry.startedAt_) },
               { "broke", broke ? "true" : "false" },
               { "kept", aLease.rested_ ? "true" : "false" },
               { "rested_ms", std::to_string(ToMilliseconds(
                                aLease.rested_.value_or(Duration{}))) } });
  if (broke) {
    traffic_.Pool().NoteBroken(aLease);
  }
  traffic_.ReportUnansweredRun(run, broke, aLease.engine_);
}

auto RequestRun::RecordLoad(const EngineExchange& aExchange) -> void
{
  const auto& codec = traffic_.Codec();
  const auto text = aExchange.Head().fields_[codec.Headers().engineLoad_];
  if (const auto load = codec.ReadLoad({ text.data(), text.size() })) {
    auto& engine = *aExchange.Lease().engine_;
    engine.report_ = *load;
    engine.reportedAt_ = traffic_.Now();
  }
}

auto RequestRun::AwaitHead(EngineExchange& aExchange) -> Task<ReadEnd>
{
  const auto& lease = aExchange.Lease();
  const auto hasNoBody = request_.method() == http::verb::head;
  if (parked_) {
    lease.connection_->PauseAfter(kRefusalTimeout);
    const auto end = co_await aExchange.ReadHead(requestId_, hasNoBody);
    // A stream must not run on two engines, even if one of them failed; only a
    // refusal leaves the parked attempt in place.
    const auto returns =
      route_->kind_ == RouteKind::Streaming
        ? IsRefusal(end, aExchange.Head())
        : end != ReadEnd::Paused && !IsSuccess(end, aExchange.Head());
    if (returns) {
      co_return end;
    }
    AbandonParked(AttemptEnd::Lost);
    if (end != ReadEnd::Paused) {
      co_return end;
    }
  }
  PauseIfSilent(lease, std::max(HeadTimeout(), kMinHeadTimeout));
  co_return co_await aExchange.ReadHead(requestId_, hasNoBody);
}

auto RequestRun::ReceiveResponse(std::shared_ptr<EngineExchange> aExchange,
                                 TimePoint aBegan) -> Task<AttemptEnd>
{
  const auto& lease = aExchange->Lease();
  if (!aExchange->HasHead()) {
    const auto end = co_await AwaitHead(*aExchange);
    if (end == ReadEnd::Paused) {
      co_return Park(std::move(aExchange), aBegan);
    }
    if (end != ReadEnd::Done) {
      FinishExchange(*aExchange, AttemptEnd::Lost, aBegan);
      co_return AttemptEnd::Lost;
    }
    traffic_.OnEngineResponse(lease);
    traffic_.Pool().Heed(lease, aExchange->Head());
    RecordLoad(*aExchange);
  }
  const auto result = co_await ForwardResponse(*aExchange);
  if (result == AttemptEnd::Parked) {
    co_return Park(std::move(aExchange), aBegan);
  }
  FinishExchange(*aExchange, result, aBegan);
  co_return result;
}

auto RequestRun::FinishExchange(const EngineExchange& aExchange,
                                AttemptEnd aResult, TimePoint aBegan) -> void
{
  const auto& lease = aExchange.Lease();
  auto& pool = traffic_.Pool();
  auto& health = lease.engine_->health_;
  ReportExceededBound(lease, aExchange.Passed());
  outcomeUnknown_ =
    aResult == AttemptEnd::Lost || aResult == AttemptEnd::Abandoned;
  --lease.engine_->ownRequests_;
  if (aExchange.IsReusable()) {
    pool.Keep(lease, aExchange.Head().keepFor_);
  } else {
    pool.Drop(lease);
  }
  switch (aResult) {
    case AttemptEnd::Delivered:
      health.OnSuccess();
      traffic_.OnRequestCompleted(fingerprint_);
      break;
    case AttemptEnd::FailureAnswer:
      health.OnFailure(traffic_.Now());
      break;
    case AttemptEnd::Rejected:
      // An engine that asks for a backoff is healthy, and the backoff is
      // granted.
      if (lease.engine_->consent_.MayReceive(traffic_.Now())) {
        health.OnFailure(traffic_.Now());
      }
      break;
    case AttemptEnd::Lost:
      health.OnFailure(traffic_.Now());
      ReportLostRun(lease, aBegan);
      break;
    case AttemptEnd::Abandoned:
      // The caller may have left while a complete response was sent to it.
      if (aExchange.IsComplete()) {
        traffic_.OnRequestCompleted(fingerprint_);
      } else {
        ReportLostRun(lease, aBegan);
      }
      break;
    default:
      break;
  }
}

} // namespace goldcrestcroft

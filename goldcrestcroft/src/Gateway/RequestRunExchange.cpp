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

/** The shared parts of the prompt, as many as a log line may have. */
auto FirstPartsForLog(const std::vector<PromptPart>& aPrompt) -> std::string
{
  constexpr std::size_t kMaxParts = 8;
  constexpr std::size_t kMaxIdLength = 32;
  std::string list;
  auto ids = SharedPartIds(aPrompt);
  ids.resize(std::min(ids.size(), kMaxParts));
  for (const auto& id : ids) {
    list += (list.empty() ? "" : " ") + id.substr(0, kMaxIdLength);
  }
  return list;
}

auto IsSuccess(ReadOutcome aEnd, const EngineResponseHead& aHead) -> bool
{
  return aEnd == ReadOutcome::Done && aHead.status_ >= 200 &&
         aHead.status_ < 300 && aHead.signed_;
}

auto IsRefusal(ReadOutcome aEnd, const EngineResponseHead& aHead) -> bool
{
  return aEnd == ReadOutcome::Done && aHead.notRun_;
}

} // namespace

auto RequestRun::ReportExceededBound(const EngineLease& aLease,
                                     ResponseLimit aBound) -> void
{
  if (aBound == ResponseLimit::None) {
    return;
  }
  traffic_.Pool().CountCut(ToString(aBound));
  Log::Write(LogLevel::Info, "engine_answer_cut",
             { { "request", requestId_ },
               { "engine", aLease.engine_->entry_.id_ },
               { "bound", ToString(aBound) },
               { "remedy", Remedy(aBound) } });
}

auto RequestRun::ReportLostRun(const EngineExchange& aExchange,
                               TimePoint aBegan) -> void
{
  const auto& lease = aExchange.Lease();
  const auto& entry = lease.engine_->entry_;
  const auto& connection = *lease.connection_;
  const auto broke =
    aborted_ == Aborted::No && !connection.TimedOut() && !connection.IsPaused();
  const LostRun run{ .request_ = fingerprint_,
                     .run_ = Fingerprint(requestId_, ++lostRuns_),
                     .began_ = aBegan,
                     .ended_ = traffic_.Now(),
                     .responding_ = aExchange.HasHead() };
  const auto firstEvent = aExchange.FirstEventAt();
  Log::Write(LogLevel::Info, "run_lost",
             { { "request", requestId_ },
               { "fingerprint", ToHex(fingerprint_) },
               { "run", ToHex(run.run_) },
               { "engine", entry.id_ },
               { "parts", FirstPartsForLog(prompt_) },
               { "head", aExchange.HasHead() ? "true" : "false" },
               { "events_for_ms", firstEvent ? std::to_string(ToMilliseconds(
                                                 run.ended_ - *firstEvent))
                                             : "-" },
               { "started_at", std::to_string(entry.startedAt_) },
               { "broke", broke ? "true" : "false" },
               { "kept", lease.idleFor_ ? "true" : "false" },
               { "rested_ms", std::to_string(ToMilliseconds(
                                lease.idleFor_.value_or(Duration{}))) } });
  if (broke) {
    traffic_.Pool().NoteBroken(lease);
  }
  traffic_.ReportUnansweredRun(broke ? SuspectsOf(aExchange, run)
                                     : std::vector{ run },
                               broke, lease.engine_);
}

auto RequestRun::SuspectsOf(const EngineExchange& aExchange,
                            const LostRun& aRun) const -> std::vector<LostRun>
{
  // Parts of longer prompts are not suspected, so that no caller can fill the
  // counters of other hosts with one request.
  constexpr std::size_t kMaxParts = 16;
  std::vector<LostRun> suspects{ aRun };
  if (aExchange.ProvesPrompt(aRun.ended_)) {
    return suspects;
  }
  // A part that is known to crash engines explains the loss.
  const auto known = QuarantinedPart();
  for (const auto part : parts_) {
    if ((known == 0 || traffic_.IsQuarantined(part)) &&
        suspects.size() <= kMaxParts) {
      suspects.push_back(aRun);
      suspects.back().request_ = part;
      suspects.back().lastPart_ = part == parts_.back() ? 0 : parts_.back();
    }
  }
  return suspects;
}

auto RequestRun::ReportSoundParts() -> void
{
  for (const auto part : parts_) {
    traffic_.OnRequestCompleted(part);
  }
}

auto RequestRun::RecordLoad(const EngineExchange& aExchange) -> void
{
  const auto& codec = traffic_.Codec();
  const auto text = aExchange.Head().fields_[codec.Headers().engineLoad_];
  if (const auto load = codec.ReadLoad({ text.data(), text.size() })) {
    traffic_.Pool().OnLoad(*aExchange.Lease().engine_, *load);
  }
}

auto RequestRun::AwaitHead(EngineExchange& aExchange) -> Task<ReadOutcome>
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
        : end != ReadOutcome::Paused && !IsSuccess(end, aExchange.Head());
    if (returns) {
      co_return end;
    }
    AbandonParked(AttemptOutcome::Lost);
    if (end != ReadOutcome::Paused) {
      co_return end;
    }
  }
  PauseIfSilent(lease, std::max(HeadTimeout(), kMinHeadTimeout));
  co_return co_await aExchange.ReadHead(requestId_, hasNoBody);
}

auto RequestRun::ReceiveResponse(std::shared_ptr<EngineExchange> aExchange,
                                 TimePoint aBegan) -> Task<AttemptOutcome>
{
  const auto& lease = aExchange->Lease();
  if (!aExchange->HasHead()) {
    const auto end = co_await AwaitHead(*aExchange);
    if (end == ReadOutcome::Paused) {
      co_return Park(std::move(aExchange), aBegan);
    }
    if (end != ReadOutcome::Done) {
      FinishExchange(*aExchange, AttemptOutcome::Lost, aBegan);
      co_return AttemptOutcome::Lost;
    }
    traffic_.OnEngineResponse(lease);
    traffic_.Pool().UpdateAvailability(lease, aExchange->Head());
    RecordLoad(*aExchange);
    if (IsSuccess(ReadOutcome::Done, aExchange->Head())) {
      lease.engine_->health_.OnResponseBegun();
    }
  }
  const auto result = co_await ForwardResponse(*aExchange);
  if (result == AttemptOutcome::Parked) {
    co_return Park(std::move(aExchange), aBegan);
  }
  FinishExchange(*aExchange, result, aBegan);
  co_return result;
}

auto RequestRun::FinishExchange(const EngineExchange& aExchange,
                                AttemptOutcome aResult, TimePoint aBegan)
  -> void
{
  const auto& lease = aExchange.Lease();
  auto& pool = traffic_.Pool();
  ReportExceededBound(lease, aExchange.ExceededLimit());
  lastEnd_ =
    aExchange.End(aExchange.BodyBytes() > 0 ? relay_.Partial().size() : 0);
  traffic_.Metrics().CountResponse(ToString(lastEnd_.framing_),
                                   ToString(lastEnd_.connection_),
                                   ToString(aResult));
  if (lastEnd_.brokenOff_ != BrokenOff::No) {
    traffic_.Metrics().Count("engine_responses_broken_off_" +
                             ToString(lastEnd_.brokenOff_));
  }
  if (lastEnd_.defect_ != ResponseDefect::None) {
    pool.CountInvalid(ToString(lastEnd_.defect_));
  }
  outcomeUnknown_ =
    aResult == AttemptOutcome::Lost || aResult == AttemptOutcome::Abandoned;
  --lease.engine_->ownRequests_;
  if (aExchange.IsReusable()) {
    pool.Keep(lease, aExchange.Head().keepFor_);
  } else {
    pool.Drop(lease);
  }
  switch (aResult) {
    case AttemptOutcome::Delivered:
      lease.engine_->health_.OnSuccess();
      traffic_.OnRequestCompleted(fingerprint_);
      ReportSoundParts();
      break;
    case AttemptOutcome::ErrorResponse:
      pool.OnFailure(*lease.engine_, EngineFailure::Failed, aBegan);
      break;
    case AttemptOutcome::Rejected:
      // An engine that asks for a backoff is healthy, and the backoff is
      // granted.
      if (lease.engine_->availability_.MayReceive(traffic_.Now())) {
        pool.OnFailure(*lease.engine_, EngineFailure::Failed, aBegan);
      }
      break;
    case AttemptOutcome::Lost:
      pool.OnFailure(*lease.engine_, EngineFailure::Unanswered, aBegan);
      ReportLostRun(aExchange, aBegan);
      break;
    case AttemptOutcome::Abandoned:
      // The caller may have left while a complete response was sent to it.
      if (aExchange.IsComplete()) {
        traffic_.OnRequestCompleted(fingerprint_);
        ReportSoundParts();
      } else {
        ReportLostRun(aExchange, aBegan);
      }
      break;
    default:
      break;
  }
}

} // namespace goldcrestcroft

#include "../Observability/Log.h"
#include "RequestRun.h"

#include <spdlog/fmt/fmt.h>

namespace goldcrestcroft {

namespace {

/** The id of an event, which is any text, as a log line may have it. */
auto IdForLog(const std::string& aId) -> std::string
{
  constexpr std::size_t kMaxIdLength = 32;
  return aId.substr(0, kMaxIdLength);
}

} // namespace

auto RequestRun::BrokenOutcome() const -> std::string
{
  return aborted_ == Aborted::DeadlineExpired ? "timeout"
         : aborted_ == Aborted::HostShutdown  ? "host_ends_streaming"
                                              : "stream_broken";
}

auto RequestRun::RespondWithFailure(AttemptOutcome aEnd) -> Task<bool>
{
  if (parked_) {
    AbandonParked(AttemptOutcome::Abandoned);
  }
  if (aborted_ == Aborted::CallerGone) {
    RecordOutcome("caller_gone");
    co_return false;
  }
  if (streamBegun_) {
    // The connection is cut so that the caller sees an incomplete response.
    const auto outcome = BrokenOutcome();
    RecordOutcome(outcome, stageProblem_ ? stageProblem_->message_ : "");
    caller_->End(CallerCloseReason::ResponseBroken, outcome);
    co_return false;
  }
  if (failureHead_) {
    const auto delivered =
      co_await Deliver(*failureHead_, std::move(failureBody_));
    RecordOutcome("engine_failure");
    co_return delivered == AttemptOutcome::Delivered;
  }
  // A local variable, since the compiler destroys braced temporaries of
  // co_await twice.
  auto answer = FailureReply(aEnd);
  co_return co_await SendLocalReply(std::move(answer));
}

auto RequestRun::FailureReply(AttemptOutcome aEnd) const -> LocalReply
{
  const auto mayHaveRun = attempts_.ran_ > 0 || outcomeUnknown_;
  const auto soon = traffic_.Options().retryAfter_;
  if (aborted_ == Aborted::DeadlineExpired && mayHaveRun) {
    return { .status_ = 504,
             .reason_ = "timeout",
             .message_ = "no engine answered in time" };
  }
  if (aborted_ == Aborted::DeadlineExpired) {
    return { .reason_ = "timeout_not_run",
             .message_ = "it did not run in time",
             .retryAfter_ = soon };
  }
  if (aborted_ == Aborted::HostShutdown) {
    return mayHaveRun
             ? LocalReply{ .status_ = 502,
                           .reason_ = "host_ends_running",
                           .message_ =
                             "this host ends; the request may have run",
                           .closes_ = true }
             : LocalReply{ .reason_ = "host_ends",
                           .message_ = "this host ends; it has not run",
                           .retryAfter_ = traffic_.Options().minRetryAfter_,
                           .closes_ = true };
  }
  if (mayHaveRun && unrecorded_) {
    return { .status_ = 502,
             .reason_ = "stream_not_recorded",
             .message_ = "the store did not record in time which software "
                         "version began the stream; the request may have run" };
  }
  if (mayHaveRun) {
    return { .status_ = 502,
             .reason_ = "engine_lost",
             .message_ = "the engine broke off; the request may have run" };
  }
  if (quarantined_) {
    return QuarantinedReply();
  }
  if (stageProblem_) {
    return *stageProblem_;
  }
  if (IsUnrecordable()) {
    return { .reason_ = "stream_not_recorded",
             .message_ = "the store does not record the software version of a "
                         "new stream",
             .retryAfter_ = soon };
  }
  return { .reason_ = attempts_.denied_ > 0                 ? "engines_limited"
                      : aEnd == AttemptOutcome::Unreachable ? "no_engine"
                                                            : "engines_full",
           .message_ = "no engine takes the request now",
           .retryAfter_ = std::max(soon, TimeUntilEngineAvailable()) };
}

auto RequestRun::RecordOutcome(const std::string& aOutcome,
                               const std::string& aDetail) -> void
{
  const auto now = traffic_.Now();
  const auto took = now - arrivedAt_;
  traffic_.Metrics().CountAnswer(service_.empty() ? "none" : service_, aOutcome,
                                 took);
  CountTakeUp(aOutcome);
  const auto heldPart = quarantined_ ? QuarantinedPart() : 0;
  if (heldPart != 0) {
    traffic_.Metrics().Count("requests_held_for_prompt_part");
  }
  const auto since = [&](TimePoint aAt) {
    return aAt == TimePoint{}
             ? std::string("-")
             : fmt::format("{:.1f}", ToMilliseconds(aAt - arrivedAt_));
  };
  Log::Write(
    LogLevel::Info, "request_ended",
    { { "request", requestId_ },
      { "outcome", aOutcome },
      { "detail", aDetail },
      { "route", route_ == nullptr ? "" : route_->name_ },
      { "configuration", std::to_string(routing_->Version()) },
      { "configuration_now", std::to_string(traffic_.Routing().Version()) },
      { "workspace", workspace_ },
      { "rank", std::to_string(rank_) },
      { "engine", lastEngine_ },
      { "resumes", resumedAttempt_ },
      { "resumes_after",
        resumesStream_
          ? IdForLog(Field(traffic_.Codec().Headers().lastEventId_))
          : "" },
      { "first_id", IdForLog(relay_.FirstId().value_or("")) },
      { "last_id", IdForLog(relay_.ForwardedId().value_or("")) },
      { "version", origin_.version_.value_or("") },
      { "version_from", origin_.source_ },
      { "took_ms", since(now) },
      { "stages_ms", since(stagesDoneAt_) },
      { "first_event_ms", since(firstEventAt_) },
      { "events", std::to_string(relay_.Events()) },
      { "framing", ToString(lastEnd_.framing_) },
      { "connection", ToString(lastEnd_.connection_) },
      { "last_events", std::to_string(lastEnd_.events_) },
      { "unfinished_bytes", std::to_string(lastEnd_.unfinishedBytes_) },
      { "engine_silent_ms",
        lastReceivedAt_ == TimePoint{}
          ? "-"
          : fmt::format("{:.0f}", ToMilliseconds(now - lastReceivedAt_)) },
      { "left_ms", deadline_ == arrivedAt_
                     ? "-"
                     : fmt::format("{:.0f}", ToMilliseconds(TimeLeft())) },
      { "held_part", heldPart == 0 ? "" : ToHex(heldPart) },
      { "no_more", stopReason_ },
      { "ran", std::to_string(attempts_.ran_) },
      { "rejected", std::to_string(attempts_.rejected_) },
      { "unreachable", std::to_string(attempts_.unreachable_) },
      { "denied", std::to_string(attempts_.denied_) },
      { "remade", std::to_string(attempts_.reproduced_) } });
}

} // namespace goldcrestcroft

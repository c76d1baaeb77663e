#include "PipelineRun.h"

#include <spdlog/fmt/fmt.h>

namespace goldcrestcroft {

namespace {

constexpr Duration kRetryAfterFailure = std::chrono::milliseconds{ 500 };

} // namespace

auto QuarantineError() -> Error
{
  return { .kind_ = ErrorKind::Forbidden,
           .message_ = "this request has crashed every server that ran it",
           .remedy_ = "do not send it again; report it to the operators" };
}

auto PipelineRun::UnfinishedOutcome() const -> Outcome
{
  if (outcomeUnknown_) {
    return Outcome::Unknown;
  }
  return sentAttempts_ > 0 ? Outcome::Failed : Outcome::NotRun;
}

auto PipelineRun::OnFailure(const AttemptId& aAttempt, AttemptFailure aFailure,
                            RetryBudget& aBudget, TimePoint aNow) -> Commands
{
  auto* active = Find(aAttempt);
  if (active == nullptr) {
    ++dropped_;
    return {};
  }
  dropped_ += aFailure == AttemptFailure::InvalidResponse ? 1 : 0;
  const auto server = hops_[active->hop_].server_;
  Retire(aAttempt, std::string(ToString(aFailure)), aNow);
  const auto notStarted = DefinitelyNotStarted(aFailure);
  if (notStarted) {
    --sentAttempts_;
    outcomeUnknown_ = false;
  }
  if (!active_.empty()) {
    return {}; // a hedge is still active
  }
  const auto repeatable = StagePool().idempotent_ || notStarted;
  const auto attemptsLeft = attemptsOfStage_ < options_.maxAttempts_;
  // A retry of work that never started adds no load, and crashes are too rare
  // to matter; all other retries draw on the budget.
  const auto exempt = notStarted || aFailure == AttemptFailure::Crashed;
  if (repeatable && options_.mayRetry_ && attemptsLeft &&
      (exempt || aBudget.TryTake())) {
    return { EnqueueAttempt(aNow, server) };
  }
  return End(
    { .outcome_ = UnfinishedOutcome(),
      .error_ = { .kind_ = ErrorKind::Unavailable,
                  .message_ = fmt::format("stage '{}' failed: {}",
                                          pipeline_->stages_[stage_].name_,
                                          ToString(aFailure)),
                  .remedy_ = "send the request again after the time given" },
      .retryAfter_ = kRetryAfterFailure },
    aNow);
}

auto PipelineRun::OnInfeasible(Duration aRetryAfter, TimePoint aNow) -> Commands
{
  return End({ .outcome_ = UnfinishedOutcome(),
               .error_ = { .kind_ = ErrorKind::Unavailable,
                           .message_ = fmt::format(
                             "stage '{}' cannot be done before the deadline",
                             pipeline_->stages_[stage_].name_),
                           .remedy_ = "come back after the time given" },
               .retryAfter_ = aRetryAfter },
             aNow);
}

auto PipelineRun::OnQuarantined(TimePoint aNow) -> Commands
{
  return End({ .outcome_ = UnfinishedOutcome(), .error_ = QuarantineError() },
             aNow);
}

auto PipelineRun::OnDisallowed(TimePoint aNow) -> Commands
{
  return End(
    { .outcome_ = UnfinishedOutcome(),
      .error_ = { .kind_ = ErrorKind::Forbidden,
                  .message_ = "the configuration changed and no longer "
                              "allows this request",
                  .remedy_ = "ask an operator" } },
    aNow);
}

auto PipelineRun::OnTick(TimePoint aNow) -> Commands
{
  if (done_ || aNow < options_.deadline_) {
    return {};
  }
  return End({ .outcome_ = UnfinishedOutcome(),
               .error_ = { .kind_ = ErrorKind::Timeout,
                           .message_ = "the deadline passed",
                           .remedy_ = "allow more time or send less work" },
               .retryAfter_ = kRetryAfterFailure },
             aNow);
}

auto PipelineRun::OnCallerGone(TimePoint aNow) -> Commands
{
  // Work that is not idempotent runs to its end, so that its outcome can be
  // recorded.
  if (done_ || !options_.config_->Content().IsIdempotent(*pipeline_)) {
    return {};
  }
  return End(
    { .outcome_ = Outcome::Failed,
      .error_ = { .kind_ = ErrorKind::Unavailable,
                  .message_ = "the caller hung up",
                  .remedy_ = "keep the connection until the answer" } },
    aNow);
}

auto PipelineRun::End(RequestResult aAnswer, TimePoint aNow) -> Commands
{
  auto commands = CancelOthers({}, aNow);
  done_ = true;
  commands.emplace_back(FinishRequest{ std::move(aAnswer) });
  return commands;
}

} // namespace goldcrestcroft

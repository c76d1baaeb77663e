#include "AttemptPolicy.h"

namespace goldcrestcroft {

auto ToString(AttemptEnd aOutcome) -> std::string
{
  switch (aOutcome) {
    case AttemptEnd::Delivered:
      return "delivered";
    case AttemptEnd::Unreachable:
      return "unreachable";
    case AttemptEnd::Denied:
      return "denied";
    case AttemptEnd::Rejected:
      return "rejected";
    case AttemptEnd::InputsGone:
      return "inputs_gone";
    case AttemptEnd::FailureAnswer:
      return "failure_answer";
    case AttemptEnd::Lost:
      return "lost";
    case AttemptEnd::Parked:
      return "parked";
    case AttemptEnd::Abandoned:
      break;
  }
  return "abandoned";
}

auto Count(AttemptRecord aRecord, AttemptEnd aOutcome) -> AttemptRecord
{
  switch (aOutcome) {
    case AttemptEnd::Unreachable:
      ++aRecord.unreachable_;
      break;
    case AttemptEnd::Denied:
      ++aRecord.denied_;
      break;
    case AttemptEnd::Rejected:
      ++aRecord.rejected_;
      break;
    case AttemptEnd::InputsGone:
      ++aRecord.remade_;
      break;
    case AttemptEnd::FailureAnswer:
    case AttemptEnd::Lost:
    case AttemptEnd::Delivered:
      ++aRecord.ran_;
      break;
    case AttemptEnd::Abandoned:
    case AttemptEnd::Parked:
      break;
  }
  return aRecord;
}

auto DecideNext(const Route& aRoute, const AttemptRecord& aRecord,
                AttemptEnd aOutcome, const AttemptLimits& aLimits) -> NextStep
{
  const auto retryIf = [](bool aAllowed) {
    return aAllowed ? NextStep::TryAnother : NextStep::Stop;
  };
  switch (aOutcome) {
    case AttemptEnd::Unreachable:
      return retryIf(aRecord.unreachable_ <= aLimits.maxUnreachable_);
    case AttemptEnd::Denied:
      return retryIf(aRecord.denied_ <= aLimits.maxDenied_);
    case AttemptEnd::Rejected:
      return retryIf(aRecord.rejected_ <= aLimits.maxRejected_);
    case AttemptEnd::InputsGone:
      return aRecord.remade_ <= aLimits.mostRemade_ ? NextStep::RemakeInputs
                                                    : NextStep::Stop;
    case AttemptEnd::FailureAnswer:
    case AttemptEnd::Lost:
      return retryIf(aRoute.IsIdempotent() &&
                     aRecord.ran_ < aRoute.maxAttempts_);
    case AttemptEnd::Delivered:
    case AttemptEnd::Abandoned:
    case AttemptEnd::Parked:
      break;
  }
  return NextStep::Stop;
}

auto WhyStopped(const Route& aRoute, AttemptEnd aOutcome) -> std::string
{
  const auto mayHaveRun =
    aOutcome == AttemptEnd::FailureAnswer || aOutcome == AttemptEnd::Lost;
  return mayHaveRun && !aRoute.IsIdempotent() ? "not_idempotent"
                                              : "attempts_used";
}

} // namespace goldcrestcroft

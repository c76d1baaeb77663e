#include "AttemptPolicy.h"

namespace goldcrestcroft {

auto ToString(AttemptOutcome aOutcome) -> std::string
{
  switch (aOutcome) {
    case AttemptOutcome::Delivered:
      return "delivered";
    case AttemptOutcome::Unreachable:
      return "unreachable";
    case AttemptOutcome::Denied:
      return "denied";
    case AttemptOutcome::Rejected:
      return "rejected";
    case AttemptOutcome::InputsLost:
      return "inputs_gone";
    case AttemptOutcome::ErrorResponse:
      return "failure_answer";
    case AttemptOutcome::Lost:
      return "lost";
    case AttemptOutcome::Unrecorded:
      return "unrecorded";
    case AttemptOutcome::Parked:
      return "parked";
    case AttemptOutcome::Abandoned:
      break;
  }
  return "abandoned";
}

auto Count(AttemptRecord aRecord, AttemptOutcome aOutcome) -> AttemptRecord
{
  switch (aOutcome) {
    case AttemptOutcome::Unreachable:
      ++aRecord.unreachable_;
      break;
    case AttemptOutcome::Denied:
      ++aRecord.denied_;
      break;
    case AttemptOutcome::Rejected:
      ++aRecord.rejected_;
      break;
    case AttemptOutcome::InputsLost:
      ++aRecord.reproduced_;
      break;
    case AttemptOutcome::ErrorResponse:
    case AttemptOutcome::Lost:
    case AttemptOutcome::Unrecorded:
    case AttemptOutcome::Delivered:
      ++aRecord.ran_;
      break;
    case AttemptOutcome::Abandoned:
    case AttemptOutcome::Parked:
      break;
  }
  return aRecord;
}

auto DecideNext(const Route& aRoute, const AttemptRecord& aRecord,
                AttemptOutcome aOutcome, const AttemptLimits& aLimits)
  -> NextStep
{
  const auto retryIf = [](bool aAllowed) {
    return aAllowed ? NextStep::TryAnother : NextStep::Stop;
  };
  switch (aOutcome) {
    case AttemptOutcome::Unreachable:
      return retryIf(aRecord.unreachable_ <= aLimits.maxUnreachable_);
    case AttemptOutcome::Denied:
      return retryIf(aRecord.denied_ <= aLimits.maxDenied_);
    case AttemptOutcome::Rejected:
      return retryIf(aRecord.rejected_ <= aLimits.maxRejected_);
    case AttemptOutcome::InputsLost:
      return aRecord.reproduced_ <= aLimits.maxReproduced_
               ? NextStep::ReproduceInputs
               : NextStep::Stop;
    case AttemptOutcome::ErrorResponse:
    case AttemptOutcome::Lost:
    case AttemptOutcome::Unrecorded:
      return retryIf(aRoute.IsIdempotent() &&
                     aRecord.ran_ < aRoute.maxAttempts_);
    case AttemptOutcome::Delivered:
    case AttemptOutcome::Abandoned:
    case AttemptOutcome::Parked:
      break;
  }
  return NextStep::Stop;
}

auto WhyStopped(const Route& aRoute, AttemptOutcome aOutcome) -> std::string
{
  const auto mayHaveRun = aOutcome == AttemptOutcome::ErrorResponse ||
                          aOutcome == AttemptOutcome::Lost;
  return mayHaveRun && !aRoute.IsIdempotent() ? "not_idempotent"
                                              : "attempts_used";
}

} // namespace goldcrestcroft

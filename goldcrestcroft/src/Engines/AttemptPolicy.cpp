#include "AttemptPolicy.h"

namespace goldcrestcroft {

auto ToString(AttemptEnd aEnd) -> std::string
{
  switch (aEnd) {
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

auto Count(AttemptRecord aRecord, AttemptEnd aEnd) -> AttemptRecord
{
  switch (aEnd) {
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
                AttemptEnd aEnd, const AttemptLimits& aLimits) -> NextStep
{
  const auto mayTry = [](bool aAllowed) {
    return aAllowed ? NextStep::TryAnother : NextStep::Stop;
  };
  switch (aEnd) {
    case AttemptEnd::Unreachable:
      return mayTry(aRecord.unreachable_ <= aLimits.mostUnreachable_);
    case AttemptEnd::Denied:
      return mayTry(aRecord.denied_ <= aLimits.mostDenied_);
    case AttemptEnd::Rejected:
      return mayTry(aRecord.rejected_ <= aLimits.mostRejected_);
    case AttemptEnd::InputsGone:
      return aRecord.remade_ <= aLimits.mostRemade_ ? NextStep::RemakeInputs
                                                    : NextStep::Stop;
    case AttemptEnd::FailureAnswer:
    case AttemptEnd::Lost:
      return mayTry(aRoute.IsIdempotent() &&
                    aRecord.ran_ < aRoute.maxAttempts_);
    case AttemptEnd::Delivered:
    case AttemptEnd::Abandoned:
    case AttemptEnd::Parked:
      break;
  }
  return NextStep::Stop;
}

auto WhyStopped(const Route& aRoute, AttemptEnd aEnd) -> std::string
{
  const auto mayHaveRun =
    aEnd == AttemptEnd::FailureAnswer || aEnd == AttemptEnd::Lost;
  return mayHaveRun && !aRoute.IsIdempotent() ? "not_idempotent"
                                              : "attempts_used";
}

} // namespace goldcrestcroft

#include "OnceExecution.h"

namespace goldcrestcroft {

auto OnceExecution::Row() const -> OnceRow
{
  OnceRow row{ .attempt_ = options_.attempt_,
               .runner_ = options_.host_,
               .incarnation_ = options_.incarnation_ };
  if (needsRecord_) {
    row.answer_ = answer_;
  }
  return row;
}

auto OnceExecution::Finish(Outcome aOutcome) -> void
{
  answer_ = { .outcome_ = aOutcome };
  mayLeaveRow_ = insertMayApply_ || ownsRow_;
  step_ = Step::Done;
}

auto OnceExecution::FinishNotRun() -> void
{
  // Unless the row was read, only the caller can know that no earlier
  // submission of the key has run.
  const auto certain = options_.firstSubmission_ && !insertMayApply_;
  Finish(certain ? Outcome::NotRun : Outcome::Unknown);
}

auto OnceExecution::AcquireRow(RowVersion aVersion, TimePoint aNow) -> void
{
  ownsRow_ = true;
  insertMayApply_ = false;
  version_ = aVersion;
  step_ = aNow < options_.deadline_ ? Step::Run : Step::ReleaseKey;
}

auto OnceExecution::OnInserted(RowVersion aVersion, TimePoint aNow) -> void
{
  if (step_ == Step::Insert) {
    AcquireRow(aVersion, aNow);
  }
}

auto OnceExecution::OnRow(const OnceRow& aRow, RowVersion aVersion,
                          bool aRunnerGone, TimePoint aNow) -> void
{
  if (step_ != Step::Insert && step_ != Step::Read &&
      step_ != Step::ReleaseKey) {
    return;
  }
  if (aRow.attempt_ == options_.attempt_) {
    if (step_ == Step::ReleaseKey) {
      version_ = aVersion;
    } else {
      AcquireRow(aVersion, aNow);
    }
    return;
  }
  // The row belongs to another attempt, so this attempt's insert can no longer
  // take effect.
  insertMayApply_ = false;
  ownsRow_ = false;
  if (aRow.answer_) {
    answer_ = *aRow.answer_;
    step_ = Step::Done;
  } else if (aRunnerGone) {
    Finish(Outcome::Unknown);
  } else {
    step_ = Step::Wait;
    OnTick(aNow);
  }
}

auto OnceExecution::OnAbsent(TimePoint aNow) -> void
{
  if (step_ == Step::ReleaseKey) {
    OnKeyReleased();
  } else if (step_ == Step::Read) {
    step_ = Step::Insert;
    OnTick(aNow);
  }
}

auto OnceExecution::OnUnavailable(TimePoint aNow) -> void
{
  if (step_ == Step::ReleaseKey && eraseMayApply_) {
    OnLost(aNow);
  } else if (step_ == Step::ReleaseKey) {
    // The row still carries this attempt, which has sent nothing and never
    // will: nobody else can have run the request either.
    Finish(Outcome::NotRun);
  } else if (step_ == Step::Insert && !insertMayApply_) {
    FinishNotRun();
  } else if (step_ == Step::Insert || step_ == Step::Read) {
    step_ = Step::Read;
    OnTick(aNow);
  }
}

auto OnceExecution::OnLost(TimePoint aNow) -> void
{
  if (step_ == Step::Insert) {
    insertMayApply_ = true;
    step_ = Step::Read;
  }
  eraseMayApply_ = eraseMayApply_ || step_ == Step::ReleaseKey;
  if (step_ == Step::ReleaseKey && aNow >= options_.deadline_) {
    // If the erasure took effect, another submission may have run since.
    Finish(Outcome::Unknown);
    return;
  }
  OnTick(aNow);
}

auto OnceExecution::OnKeyReleased() -> void
{
  if (step_ == Step::ReleaseKey) {
    ownsRow_ = false;
    Finish(Outcome::NotRun);
  }
}

auto OnceExecution::TryDispatch(TimePoint aNow) -> bool
{
  if (step_ == Step::Running) {
    return true;
  }
  if (step_ != Step::Run) {
    return false;
  }
  if (aNow >= options_.deadline_) {
    step_ = Step::ReleaseKey;
    return false;
  }
  step_ = Step::Running;
  return true;
}

auto OnceExecution::OnRefused() -> void
{
  if (step_ == Step::Run) {
    step_ = Step::ReleaseKey;
  }
}

auto OnceExecution::OnFinished(RecordedResponse aAnswer) -> void
{
  if (step_ == Step::Running && aAnswer.outcome_ == Outcome::NotRun) {
    // A recorded not_run would be returned to every later submission.
    step_ = Step::ReleaseKey;
  } else if (step_ == Step::Running) {
    answer_ = std::move(aAnswer);
    needsRecord_ = true;
    step_ = Step::Done;
  }
}

auto OnceExecution::OnTick(TimePoint aNow) -> void
{
  if (aNow < options_.deadline_) {
    return;
  }
  switch (step_) {
    case Step::Insert:
      // An insert may be in flight and take effect after this answer.
      insertMayApply_ = true;
      Finish(Outcome::Unknown);
      break;
    case Step::Read:
    case Step::Wait:
      Finish(Outcome::Unknown);
      break;
    case Step::Run:
      step_ = Step::ReleaseKey;
      break;
    case Step::Running:
    case Step::ReleaseKey:
    case Step::Done:
      break;
  }
}

} // namespace goldcrestcroft

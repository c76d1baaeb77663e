#include "OnceWorld.h"

namespace testing {

namespace {

const RowKey kRow{ .table_ = kOnceTable, .key_ = "pay" };
constexpr std::size_t kMaxSubmissions = 4;
constexpr Duration kDeadline = std::chrono::seconds{ 2 };

auto Parse(const Row& aRow) -> OnceRow
{
  return Handle([&] { return DecodeOnceRow(aRow.value_); },
                [](const Error&) { return OnceRow{}; });
}

} // namespace

auto OnceWorld::Submit() -> void
{
  if (submissions_.size() >= kMaxSubmissions) {
    return;
  }
  // The caller that asserts a first submission waits for its answer, or sees
  // its host die, before it sends the key again.
  if (!submissions_.empty() && submissions_[0].alive_ &&
      submissions_[0].execution_.Next() != OnceExecution::Step::Done) {
    return;
  }
  const auto name = "s" + std::to_string(submissions_.size());
  submissions_.push_back({ .execution_ = OnceExecution(
                             { .key_ = { "pay" },
                               .attempt_ = { name },
                               .host_ = { name },
                               .incarnation_ = 1,
                               .deadline_ = clock_.Now() + kDeadline,
                               .firstSubmission_ = submissions_.empty() }) });
}

auto OnceWorld::Issue(std::size_t aIndex) -> void
{
  auto& submission = submissions_[aIndex];
  const auto& execution = submission.execution_;
  Call call{ .kind_ = CallKind::Read, .submission_ = aIndex };
  switch (execution.Next()) {
    case OnceExecution::Step::Insert:
      call.kind_ = CallKind::Insert;
      call.write_ = RowWrite{ .key_ = kRow,
                              .value_ = EncodeOnceRow(execution.Row()),
                              .expected_ = 0 };
      break;
    case OnceExecution::Step::ReleaseKey:
      call.kind_ = CallKind::ReleaseKey;
      call.write_ = RowWrite{ .key_ = kRow };
      if (removed_ != Removed::ReleaseCondition) {
        call.write_->expected_ = execution.OwnVersion();
      }
      break;
    case OnceExecution::Step::Read:
      break;
    default:
      return;
  }
  submission.waits_ = true;
  calls_.push_back(std::move(call));
}

auto OnceWorld::Apply(Call& aCall) -> void
{
  if (aCall.applied_) {
    return;
  }
  aCall.applied_ = true;
  aCall.runs_ = runs_;
  if (aCall.write_) {
    aCall.transact_ = table_.Transact({ *aCall.write_ });
  } else {
    aCall.read_ = table_.Read({ kRow });
  }
}

auto OnceWorld::OnRow(Submission& aSubmission, const Row& aRow) -> void
{
  const auto now = clock_.Now();
  if (aRow.version_ == 0) {
    aSubmission.execution_.OnAbsent(now);
    return;
  }
  const auto row = Parse(aRow);
  const auto& other = submissions_[row.runner_.value_[1] - '0'];
  if (removed_ == Removed::RunnerProof && !other.alive_ && !row.answer_) {
    aSubmission.execution_.OnInserted(aRow.version_, now);
    return;
  }
  // A paused host may wrongly be taken for gone; here any pause counts as gone.
  const auto believedGone = !other.alive_;
  aSubmission.execution_.OnRow(row, aRow.version_, believedGone, now);
}

auto OnceWorld::Answer(Call& aCall) -> void
{
  auto& submission = submissions_[aCall.submission_];
  if (!aCall.applied_ || aCall.answered_) {
    return;
  }
  aCall.answered_ = true;
  if (!submission.alive_ || !submission.waits_ ||
      aCall.kind_ == CallKind::Record) {
    return;
  }
  submission.waits_ = false;
  submission.runsSeen_ = aCall.runs_;
  const auto now = clock_.Now();
  auto& execution = submission.execution_;
  if (aCall.kind_ == CallKind::Read) {
    OnRow(submission, aCall.read_.rows_.empty() ? Row{ .key_ = kRow }
                                                : aCall.read_.rows_[0]);
  } else if (aCall.transact_.status_ == TableStatus::Done) {
    if (aCall.kind_ == CallKind::Insert) {
      execution.OnInserted(aCall.transact_.versions_[0], now);
    } else {
      execution.OnKeyReleased();
    }
  } else if (removed_ == Removed::InsertCondition &&
             aCall.kind_ == CallKind::Insert) {
    execution.OnInserted(aCall.transact_.conflicts_[0].version_, now);
  } else {
    OnRow(submission, aCall.transact_.conflicts_[0]);
  }
}

auto OnceWorld::Lose(Call& aCall) -> void
{
  auto& submission = submissions_[aCall.submission_];
  if (aCall.answered_) {
    return;
  }
  aCall.answered_ = true; // it may still be applied later
  if (!submission.alive_ || !submission.waits_ ||
      aCall.kind_ == CallKind::Record) {
    return;
  }
  submission.waits_ = false;
  if (removed_ == Removed::ReadBack && aCall.kind_ == CallKind::Insert) {
    submission.execution_.OnInserted(1, clock_.Now());
    return;
  }
  submission.execution_.OnLost(clock_.Now());
}

auto OnceWorld::Refuse(Call& aCall) -> void
{
  auto& submission = submissions_[aCall.submission_];
  if (aCall.answered_ || aCall.applied_) {
    return;
  }
  aCall.answered_ = true;
  aCall.applied_ = true; // never takes effect
  if (submission.alive_ && submission.waits_ &&
      aCall.kind_ != CallKind::Record) {
    submission.waits_ = false;
    submission.runsSeen_ = runs_;
    submission.execution_.OnUnavailable(clock_.Now());
  }
}

auto OnceWorld::Act(std::size_t aIndex, unsigned aChoice) -> void
{
  auto& submission = submissions_[aIndex];
  if (!submission.alive_ || submission.waits_) {
    return;
  }
  auto& execution = submission.execution_;
  switch (execution.Next()) {
    case OnceExecution::Step::Run:
      if (aChoice % 4 == 0) {
        execution.OnRefused();
      } else if (execution.TryDispatch(clock_.Now())) {
        if (aChoice % 16 == 1) { // no server was reached
          execution.OnFinished({ .outcome_ = Outcome::NotRun });
        } else {
          ++runs_;
        }
      }
      break;
    case OnceExecution::Step::Running:
      execution.OnFinished({ .outcome_ = Outcome::Completed, .body_ = "paid" });
      calls_.push_back(
        { .kind_ = CallKind::Record,
          .submission_ = aIndex,
          .write_ = RowWrite{ .key_ = kRow,
                              .value_ = EncodeOnceRow(execution.Row()),
                              .expected_ = execution.OwnVersion() } });
      break;
    case OnceExecution::Step::Wait:
      execution.OnPollDue();
      break;
    default:
      Issue(aIndex);
      break;
  }
}

auto OnceWorld::CheckAnswer(Submission& aSubmission) -> void
{
  const auto& execution = aSubmission.execution_;
  if (aSubmission.answerChecked_ || !aSubmission.alive_ ||
      execution.Next() != OnceExecution::Step::Done) {
    return;
  }
  aSubmission.answerChecked_ = true;
  const auto outcome = execution.Answer().outcome_;
  // Once a row is released, another submission may run before the answer is
  // sent; what must hold is that nothing had run when the table service
  // replied.
  if (outcome == Outcome::NotRun && aSubmission.runsSeen_ > 0) {
    violation_ = "said not_run, but it had run";
  }
  if (outcome == Outcome::Completed) {
    ++completed_;
    if (runs_ == 0 || execution.Answer().body_ != "paid") {
      violation_ = "said completed without the answer of a run";
    }
  }
}

auto OnceWorld::AdvanceTime(Duration aBy) -> void
{
  clock_.Advance(aBy);
  for (auto& submission : submissions_) {
    if (submission.alive_) {
      submission.execution_.OnTick(clock_.Now());
    }
  }
}

auto OnceWorld::Step(unsigned aChoice) -> void
{
  const auto kind = aChoice % 16;
  const auto pick = aChoice / 16;
  auto* call = calls_.empty() ? nullptr : &calls_[pick % calls_.size()];
  if (kind == 0) {
    Submit();
  } else if (kind <= 6 && !submissions_.empty()) {
    Act(pick % submissions_.size(), aChoice / 64);
  } else if (kind <= 9 && call != nullptr) {
    Apply(*call);
  } else if (kind <= 11 && call != nullptr) {
    Answer(*call);
  } else if (kind == 12 && call != nullptr) {
    Lose(*call);
  } else if (kind == 13 && call != nullptr) {
    Refuse(*call);
  } else if (kind == 14) {
    AdvanceTime(std::chrono::milliseconds(100 * (pick % 12)));
  } else if (kind == 15 && !submissions_.empty() && pick % 4 == 0) {
    submissions_[(pick / 4) % submissions_.size()].alive_ = false;
  }
  for (auto& submission : submissions_) {
    CheckAnswer(submission);
  }
  if (runs_ > 1) {
    violation_ = "ran twice";
  }
}

} // namespace testing

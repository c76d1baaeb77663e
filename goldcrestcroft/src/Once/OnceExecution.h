#pragma once

#include "OnceRow.h"

namespace goldcrestcroft {

/** \brief One submission of a non-idempotent request at one entry host.
 *
 * The row of the key in the table service decides: the attempt that
 * inserted it may run, once. Report each event by a call, then act on
 * Next(). Safety rests on two facts alone: Run is reached only with proof
 * that the row carries this attempt, and at most once. */
class OnceExecution
{
public:
  enum class Step
  {
    /** Insert the row if absent. */
    Insert,
    /** Read the row. */
    Read,
    /** Send the work to a backend server, unless it is refused first. */
    Run,
    /** The work is running; OnFinished follows. */
    Running,
    /** Another attempt runs; read the row again after a pause. */
    Wait,
    /** Erase the row if it still carries this attempt. */
    ReleaseKey,
    /** Answer() is final. */
    Done
  };

  struct Options
  {
    IdempotencyKey key_;
    AttemptId attempt_;
    HostId host_;
    Incarnation incarnation_ = 0;
    TimePoint deadline_;
    /** The caller asserts that it never sent this key before. */
    bool firstSubmission_ = false;
  };

  explicit OnceExecution(Options aOptions)
    : options_(std::move(aOptions))
  {
  }

  [[nodiscard]] auto Next() const -> Step { return step_; }
  [[nodiscard]] auto Key() const -> const IdempotencyKey&
  {
    return options_.key_;
  }
  [[nodiscard]] auto Attempt() const -> const AttemptId&
  {
    return options_.attempt_;
  }
  /** \brief The row as this attempt writes it. */
  [[nodiscard]] auto Row() const -> OnceRow;
  /** \brief The version of this attempt's row, for conditional writes. */
  [[nodiscard]] auto OwnVersion() const -> RowVersion { return version_; }
  [[nodiscard]] auto Answer() const -> const RecordedResponse&
  {
    return answer_;
  }
  /** \brief Whether the result of the run has to be written to the row. */
  [[nodiscard]] auto NeedsRecord() const -> bool { return needsRecord_; }
  /** \brief Whether a row of this attempt may exist after the answer, for
   * example by an insert that takes effect later. */
  [[nodiscard]] auto MayLeaveRow() const -> bool { return mayLeaveRow_; }

  /** \brief The insert took effect. */
  auto OnInserted(RowVersion aVersion, TimePoint aNow) -> void;
  /** \brief The row exists. aRunnerGone: the incarnation of its runner has
   * ended. */
  auto OnRow(const OnceRow& aRow, RowVersion aVersion, bool aRunnerGone,
             TimePoint aNow) -> void;
  /** \brief The row was read and is absent. */
  auto OnAbsent(TimePoint aNow) -> void;
  /** \brief The table service refused the call; nothing was written. */
  auto OnUnavailable(TimePoint aNow) -> void;
  /** \brief A reply of the table service was lost. */
  auto OnLost(TimePoint aNow) -> void;
  /** \brief The row was erased, or carries another attempt by now. */
  auto OnKeyReleased() -> void;
  /** \brief To be called before the first byte is sent. Returns false if it
   * must not be sent. */
  auto TryDispatch(TimePoint aNow) -> bool;
  /** \brief Admission or configuration refuses the run before any byte is
   * sent. */
  auto OnRefused() -> void;
  /** \brief The run ended. The key is released if nothing was sent to a
   * server. */
  auto OnFinished(RecordedResponse aAnswer) -> void;
  /** \brief The pause of Wait is over: read the row again. */
  auto OnPollDue() -> void { step_ = step_ == Step::Wait ? Step::Read : step_; }
  /** \brief Advances time; the deadline ends waiting. */
  auto OnTick(TimePoint aNow) -> void;

private:
  auto Finish(Outcome aOutcome) -> void;
  auto FinishNotRun() -> void;
  auto AcquireRow(RowVersion aVersion, TimePoint aNow) -> void;

  Options options_;
  Step step_ = Step::Insert;
  RowVersion version_ = 0;
  RecordedResponse answer_;
  bool insertMayApply_ = false;
  bool ownsRow_ = false;
  /** An erasure whose reply was lost may have freed the key for others. */
  bool eraseMayApply_ = false;
  bool needsRecord_ = false;
  bool mayLeaveRow_ = false;
};

} // namespace goldcrestcroft

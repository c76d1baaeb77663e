#pragma once

#include "OnceRow.h"

namespace goldcrestcroft {

/** \brief One submission of a non-idempotent request at one entry host.
 *
 * The row of the key in the table service decides: whoever inserted it may run,
 * once. Feed the events; after each, act on Next(). Safety rests on two facts
 * alone: Run is reached only with proof that the row carries this attempt, and
 * at most once. */
class OnceExecution
{
public:
  enum class Step
  {
    /** Insert the row if absent. */
    Insert,
    /** Read the row. */
    Read,
    /** Hand the work to a backend server, unless it is refused first. */
    Run,
    /** Runs; waiting for OnFinished. */
    Running,
    /** Another attempt runs; read the row again after a pause. */
    Wait,
    /** Erase the row if it still carries this attempt. */
    GiveUp,
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
    /** The caller vouches that it never sent this key before. */
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
  /** \brief The version of the own row, for conditional writes. */
  [[nodiscard]] auto OwnVersion() const -> RowVersion { return version_; }
  [[nodiscard]] auto Answer() const -> const RecordedAnswer& { return answer_; }
  /** \brief Whether the end of the run must be written to the row. */
  [[nodiscard]] auto OwesRecord() const -> bool { return owesRecord_; }
  /** \brief Whether an insert may yet take effect after the answer. */
  [[nodiscard]] auto MayLeaveRow() const -> bool { return mayLeaveRow_; }

  /** \brief The insert took effect. */
  auto OnInserted(RowVersion aVersion, TimePoint aNow) -> void;
  /** \brief The row is there. aRunnerGone: its runner's incarnation ended. */
  auto OnRow(const OnceRow& aRow, RowVersion aVersion, bool aRunnerGone,
             TimePoint aNow) -> void;
  /** \brief The row was read and is absent. */
  auto OnAbsent(TimePoint aNow) -> void;
  /** \brief The table refused; nothing was written. */
  auto OnUnavailable(TimePoint aNow) -> void;
  /** \brief An answer of the table was lost. */
  auto OnLost(TimePoint aNow) -> void;
  /** \brief The row was erased, or carries another attempt by now. */
  auto OnGivenUp() -> void;
  /** \brief The first byte goes out now. False if it must not. */
  auto TryDispatch(TimePoint aNow) -> bool;
  /** \brief Admission or configuration refuses the run before any byte. */
  auto OnRefused() -> void;
  /** \brief The run ended. The key is given up if nothing was handed over. */
  auto OnFinished(RecordedAnswer aAnswer) -> void;
  /** \brief The pause of Wait is over: read the row again. */
  auto OnPollDue() -> void { step_ = step_ == Step::Wait ? Step::Read : step_; }
  /** \brief Time passes: deadlines end waiting. */
  auto OnTick(TimePoint aNow) -> void;

private:
  auto Finish(Outcome aOutcome) -> void;
  auto FinishUnrun() -> void;
  auto Own(RowVersion aVersion, TimePoint aNow) -> void;

  Options options_;
  Step step_ = Step::Insert;
  RowVersion version_ = 0;
  RecordedAnswer answer_;
  bool insertMayLand_ = false;
  bool owned_ = false;
  /** An erasure whose answer was lost may have freed the key for others. */
  bool eraseMayLand_ = false;
  bool owesRecord_ = false;
  bool mayLeaveRow_ = false;
};

} // namespace goldcrestcroft

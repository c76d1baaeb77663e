#pragma once

#include "../../../Once.h"
#include "../Settings.h"
#include "ControlView.h"
#include "PlatformTable.h"

#include <deque>
#include <map>

namespace goldcrestcroft {

/** \brief Runs the OnceExecutions of one host against the table service. Used
 * on the traffic thread only. */
class OnceExecutionManager
{
public:
  /** \brief Callbacks of one execution. */
  struct Handlers
  {
    /** This attempt holds the row: start the run. */
    std::function<void()> onRun_;
    /** Receives the final response, from this attempt or recorded earlier. */
    std::function<void(const RecordedResponse&, bool aFromThisAttempt)>
      onAnswer_;
  };

  OnceExecutionManager(OnceSettings aSettings, PlatformTable& aTable)
    : settings_(aSettings)
    , table_(aTable)
    , batcher_({ .period_ = aSettings.batchPeriod_ })
  {
  }

  auto Begin(OnceExecution::Options aOptions, Handlers aHandlers,
             TimePoint aNow) -> void;
  /** \brief Call immediately before the first byte is sent. Returns false if it
   * must not be sent; onAnswer_ then receives the response. */
  auto TryDispatch(const AttemptId& aAttempt, TimePoint aNow) -> bool;
  /** \brief Rejects a run that has sent nothing. */
  auto Refuse(const AttemptId& aAttempt, TimePoint aNow) -> void;
  auto Finish(const AttemptId& aAttempt, RecordedResponse aAnswer,
              TimePoint aNow) -> void;
  /** \brief Whether the execution has sent its first byte. */
  [[nodiscard]] auto IsRunning(const AttemptId& aAttempt) const -> bool;

  auto Tick(TimePoint aNow) -> void;
  auto SetView(ControlViewPtr aView) -> void { view_ = std::move(aView); }
  /** \brief Whether no execution is in progress and no record or cleanup of a
   * row is outstanding. */
  [[nodiscard]] auto IsIdle() const -> bool;

private:
  enum class Purpose
  {
    Insert,
    ReleaseKey,
    Record,
    Clean
  };
  struct Entry
  {
    OnceExecution execution_;
    Handlers handlers_;
    bool tableCallPending_ = false;
    bool started_ = false;
    TimePoint nextPoll_{};
  };
  struct Ticket
  {
    Purpose purpose_ = Purpose::Insert;
    AttemptId attempt_;
  };
  /** A finished run whose outcome is not recorded in the table yet. */
  struct Unrecorded
  {
    RowWrite write_;
    bool queued_ = false;
    unsigned tries_ = 0;
  };
  /** A row that this host may have left in the table without a run. */
  struct Leftover
  {
    RowKey key_;
    AttemptId attempt_;
    TimePoint nextTry_;
    TimePoint until_;
  };

  auto Advance(const AttemptId& aAttempt, TimePoint aNow) -> void;
  auto Complete(const AttemptId& aAttempt, TimePoint aNow) -> void;
  auto QueueWrite(const AttemptId& aAttempt, Purpose aPurpose, RowWrite aWrite)
    -> bool;
  auto QueueRead(const AttemptId& aAttempt, TimePoint aNow) -> void;
  auto SendBatches(TimePoint aNow) -> void;
  auto OnWritten(const WriteResult& aResult, TimePoint aNow) -> void;
  auto OnExecutionWrite(const Ticket& aTicket, const WriteResult& aResult,
                        TimePoint aNow) -> void;
  auto OnRecordWrite(const AttemptId& aAttempt, const WriteResult& aResult)
    -> void;
  auto OnRow(Entry& aEntry, const Row& aRow, TimePoint aNow) -> void;
  auto Clean(TimePoint aNow) -> void;
  auto RetryRecords() -> void;
  [[nodiscard]] auto KeyOf(const OnceExecution& aExecution) const -> RowKey
  {
    return { .table_ = kOnceTable, .key_ = aExecution.Key().value_ };
  }

  OnceSettings settings_;
  PlatformTable& table_;
  TableBatcher batcher_;
  ControlViewPtr view_ = std::make_shared<ControlView>();
  std::map<AttemptId, Entry> entries_;
  std::map<WriteTicket, Ticket> tickets_;
  std::map<AttemptId, Unrecorded> unrecorded_;
  std::deque<Leftover> leftovers_;
};

} // namespace goldcrestcroft

#include "OnceExecutionManager.h"

#include "../../Observability/Log.h"

namespace goldcrestcroft {

namespace {

// An insert that is still in transit takes effect within this time.
constexpr Duration kMaxInsertDelay = std::chrono::seconds{ 20 };
constexpr Duration kCleanupPeriod = std::chrono::seconds{ 1 };
constexpr std::size_t kMaxLeftovers = 4096;
constexpr std::size_t kMaxUnrecorded = 4096;

auto ReadRow(const Row& aRow) -> OnceRow
{
  // An unreadable row proves only that some attempt holds the key.
  return Handle([&] { return DecodeOnceRow(aRow.value_); },
                [](const Error&) { return OnceRow{}; });
}

} // namespace

auto OnceExecutionManager::Begin(OnceExecution::Options aOptions,
                                 Handlers aHandlers, TimePoint aNow) -> void
{
  const auto attempt = aOptions.attempt_;
  entries_.emplace(attempt,
                   Entry{ .execution_ = OnceExecution(std::move(aOptions)),
                          .handlers_ = std::move(aHandlers) });
  Advance(attempt, aNow);
  SendBatches(aNow);
}

auto OnceExecutionManager::IsRunning(const AttemptId& aAttempt) const -> bool
{
  const auto found = entries_.find(aAttempt);
  return found != entries_.end() &&
         found->second.execution_.Next() == OnceExecution::Step::Running;
}

auto OnceExecutionManager::IsIdle() const -> bool
{
  return entries_.empty() && unrecorded_.empty() && leftovers_.empty();
}

auto OnceExecutionManager::TryDispatch(const AttemptId& aAttempt,
                                       TimePoint aNow) -> bool
{
  const auto found = entries_.find(aAttempt);
  if (found == entries_.end()) {
    return false;
  }
  if (found->second.execution_.TryDispatch(aNow)) {
    return true;
  }
  Advance(aAttempt, aNow);
  return false;
}

auto OnceExecutionManager::Refuse(const AttemptId& aAttempt, TimePoint aNow)
  -> void
{
  const auto found = entries_.find(aAttempt);
  if (found != entries_.end()) {
    found->second.execution_.OnRefused();
    Advance(aAttempt, aNow);
  }
}

auto OnceExecutionManager::Finish(const AttemptId& aAttempt,
                                  RecordedResponse aAnswer, TimePoint aNow)
  -> void
{
  const auto found = entries_.find(aAttempt);
  if (found != entries_.end()) {
    found->second.execution_.OnFinished(std::move(aAnswer));
    Advance(aAttempt, aNow);
  }
}

auto OnceExecutionManager::QueueWrite(const AttemptId& aAttempt,
                                      Purpose aPurpose, RowWrite aWrite) -> bool
{
  const auto ticket = batcher_.Add(std::move(aWrite));
  if (!ticket) {
    return false;
  }
  tickets_.emplace(*ticket,
                   Ticket{ .purpose_ = aPurpose, .attempt_ = aAttempt });
  return true;
}

auto OnceExecutionManager::Advance(const AttemptId& aAttempt, TimePoint aNow)
  -> void
{
  const auto found = entries_.find(aAttempt);
  if (found == entries_.end()) {
    return;
  }
  auto& entry = found->second;
  auto& execution = entry.execution_;
  const auto step = execution.Next();
  if (step == OnceExecution::Step::Done) {
    Complete(aAttempt, aNow);
    return;
  }
  if (step == OnceExecution::Step::Run && !entry.started_) {
    entry.started_ = true;
    const auto onRun = entry.handlers_.onRun_;
    onRun();
    return;
  }
  if (entry.tableCallPending_) {
    return;
  }
  if (step == OnceExecution::Step::Wait) {
    entry.nextPoll_ = aNow + settings_.pollPeriod_;
  } else if (step == OnceExecution::Step::Read) {
    entry.tableCallPending_ = true;
    QueueRead(aAttempt, aNow);
  } else if (step == OnceExecution::Step::Insert ||
             step == OnceExecution::Step::ReleaseKey) {
    const auto insert = step == OnceExecution::Step::Insert;
    RowWrite write{ .key_ = KeyOf(execution),
                    .expected_ = insert ? 0 : execution.OwnVersion() };
    if (insert) {
      write.value_ = EncodeOnceRow(execution.Row());
      write.expiresAfterSeconds_ =
        static_cast<std::uint64_t>(settings_.keyRetention_.count());
    }
    entry.tableCallPending_ =
      QueueWrite(aAttempt, insert ? Purpose::Insert : Purpose::ReleaseKey,
                 std::move(write));
    if (!entry.tableCallPending_) {
      execution.OnUnavailable(aNow);
      Advance(aAttempt, aNow);
    }
  }
}

auto OnceExecutionManager::Complete(const AttemptId& aAttempt, TimePoint)
  -> void
{
  auto node = entries_.extract(aAttempt);
  auto& execution = node.mapped().execution_;
  const auto now = SteadyClock{}.Now();
  if (execution.NeedsRecord() && unrecorded_.size() < kMaxUnrecorded) {
    unrecorded_.emplace(
      aAttempt,
      Unrecorded{
        .write_ = { .key_ = KeyOf(execution),
                    .value_ = EncodeOnceRow(execution.Row()),
                    .expected_ = execution.OwnVersion(),
                    .expiresAfterSeconds_ = static_cast<std::uint64_t>(
                      settings_.keyRetention_.count()) } });
    RetryRecords();
  }
  if (execution.MayLeaveRow() && leftovers_.size() < kMaxLeftovers) {
    leftovers_.push_back({ .key_ = KeyOf(execution),
                           .attempt_ = aAttempt,
                           .nextTry_ = now + kCleanupPeriod,
                           .until_ = now + kMaxInsertDelay });
  }
  node.mapped().handlers_.onAnswer_(execution.Answer(),
                                    execution.NeedsRecord());
}

auto OnceExecutionManager::OnRow(Entry& aEntry, const Row& aRow, TimePoint aNow)
  -> void
{
  if (aRow.version_ == 0) {
    aEntry.execution_.OnAbsent(aNow);
    return;
  }
  const auto row = ReadRow(aRow);
  aEntry.execution_.OnRow(row, aRow.version_,
                          view_->HasEnded(row.runner_, row.incarnation_), aNow);
}

auto OnceExecutionManager::QueueRead(const AttemptId& aAttempt, TimePoint)
  -> void
{
  const auto key = KeyOf(entries_.at(aAttempt).execution_);
  table_.Read({ key }, [this, aAttempt, key](const ReadReply& aReply) {
    const auto now = SteadyClock{}.Now();
    const auto found = entries_.find(aAttempt);
    if (found == entries_.end()) {
      return;
    }
    auto& entry = found->second;
    entry.tableCallPending_ = false;
    if (aReply.status_ == TableStatus::Done) {
      OnRow(entry, aReply.rows_.empty() ? Row{ .key_ = key } : aReply.rows_[0],
            now);
      Advance(aAttempt, now);
      return;
    }
    entry.execution_.OnLost(now);
    if (entry.execution_.Next() == OnceExecution::Step::Read) {
      // An immediate retry would only add load to a service that does not
      // reply.
      entry.nextPoll_ = now + settings_.pollPeriod_;
      return;
    }
    Advance(aAttempt, now);
  });
}

auto OnceExecutionManager::Clean(TimePoint aNow) -> void
{
  std::erase_if(leftovers_, [aNow](const Leftover& aLeftover) {
    return aNow >= aLeftover.until_;
  });
  for (auto& leftover : leftovers_) {
    if (aNow < leftover.nextTry_) {
      continue;
    }
    leftover.nextTry_ = aNow + kCleanupPeriod;
    const auto attempt = leftover.attempt_;
    table_.Read({ leftover.key_ }, [this, attempt](const ReadReply& aReply) {
      if (aReply.rows_.empty()) {
        return;
      }
      const auto& found = aReply.rows_.front();
      const auto row = ReadRow(found);
      if (row.attempt_ == attempt && !row.answer_) {
        QueueWrite(attempt, Purpose::Clean,
                   { .key_ = found.key_, .expected_ = found.version_ });
      }
    });
  }
}

auto OnceExecutionManager::Tick(TimePoint aNow) -> void
{
  std::vector<AttemptId> due;
  for (auto& [attempt, entry] : entries_) {
    entry.execution_.OnTick(aNow);
    const auto step = entry.execution_.Next();
    const auto waits =
      step == OnceExecution::Step::Wait ||
      (step == OnceExecution::Step::Read && !entry.tableCallPending_);
    if (waits && aNow >= entry.nextPoll_) {
      entry.execution_.OnPollDue();
      due.push_back(attempt);
    } else if (!waits && step != OnceExecution::Step::Running) {
      due.push_back(attempt);
    }
  }
  for (const auto& attempt : due) {
    Advance(attempt, aNow);
  }
  if (batcher_.Queued() == 0) {
    RetryRecords();
  }
  Clean(aNow);
  SendBatches(aNow);
}

} // namespace goldcrestcroft

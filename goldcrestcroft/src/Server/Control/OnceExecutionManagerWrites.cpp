#include "../../Observability/Log.h"
#include "OnceExecutionManager.h"

namespace goldcrestcroft {

namespace {

constexpr unsigned kMaxRecordTries = 600;

} // namespace

auto OnceExecutionManager::OnExecutionWrite(const Ticket& aTicket,
                                            const WriteResult& aResult,
                                            TimePoint aNow) -> void
{
  const auto found = entries_.find(aTicket.attempt_);
  if (found == entries_.end()) {
    return;
  }
  auto& entry = found->second;
  auto& execution = entry.execution_;
  entry.tableCallPending_ = false;
  switch (aResult.status_) {
    case TableStatus::Done:
      if (aTicket.purpose_ == Purpose::Insert) {
        execution.OnInserted(aResult.version_, aNow);
      } else {
        execution.OnKeyReleased();
      }
      break;
    case TableStatus::Conflict:
      OnRow(entry, aResult.row_, aNow);
      break;
    case TableStatus::Unavailable:
      execution.OnUnavailable(aNow);
      break;
    case TableStatus::Lost:
      execution.OnLost(aNow);
      break;
  }
  Advance(aTicket.attempt_, aNow);
}

auto OnceExecutionManager::OnRecordWrite(const AttemptId& aAttempt,
                                         const WriteResult& aResult) -> void
{
  const auto found = unrecorded_.find(aAttempt);
  if (found == unrecorded_.end()) {
    return;
  }
  auto& unrecorded = found->second;
  unrecorded.queued_ = false;
  // A conflict means that an earlier try took effect and its reply was lost.
  const auto settled = aResult.status_ == TableStatus::Done ||
                       aResult.status_ == TableStatus::Conflict;
  if (settled || ++unrecorded.tries_ >= kMaxRecordTries) {
    if (!settled) {
      Log::Write(LogLevel::Warning, "the end of a run could not be recorded",
                 { { "attempt", aAttempt.value_ } });
    }
    unrecorded_.erase(found);
  }
}

auto OnceExecutionManager::OnWritten(const WriteResult& aResult, TimePoint aNow)
  -> void
{
  const auto node = tickets_.extract(aResult.ticket_);
  if (node.empty()) {
    return;
  }
  const auto ticket = node.mapped();
  if (ticket.purpose_ == Purpose::Record) {
    OnRecordWrite(ticket.attempt_, aResult);
  } else if (ticket.purpose_ != Purpose::Clean) {
    OnExecutionWrite(ticket, aResult, aNow);
  }
}

auto OnceExecutionManager::SendBatches(TimePoint aNow) -> void
{
  while (auto batch = batcher_.NextBatch(aNow)) {
    table_.Transact(std::move(*batch), [this](const TransactReply& aReply) {
      const auto now = SteadyClock{}.Now();
      for (const auto& result : batcher_.OnReply(aReply)) {
        OnWritten(result, now);
      }
    });
  }
}

auto OnceExecutionManager::RetryRecords() -> void
{
  for (auto& [attempt, unrecorded] : unrecorded_) {
    if (!unrecorded.queued_) {
      unrecorded.queued_ =
        QueueWrite(attempt, Purpose::Record, unrecorded.write_);
    }
  }
}

} // namespace goldcrestcroft

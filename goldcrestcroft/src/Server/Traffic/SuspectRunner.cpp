#include "SuspectRunner.h"

#include "../../Observability/Log.h"

namespace goldcrestcroft {

namespace {

// The row of the turn expires after this time. If a host dies while it holds
// the turn, no other host can take it before then.
constexpr std::uint64_t kTurnSeconds = 20;

auto TurnRow() -> RowKey
{
  return { .table_ = "poison", .key_ = "turn" };
}

} // namespace

auto SuspectRunner::Add(WorkItem aWork) -> void
{
  if (!queue_.Add(aWork)) {
    handlers_.refuse_(aWork);
  }
}

auto SuspectRunner::Cancel(const AttemptId& aAttempt, TimePoint aNow) -> void
{
  if (!queue_.Remove(aAttempt)) {
    queue_.OnEnded(aAttempt, false, aNow);
  }
}

auto SuspectRunner::OnEnded(const AttemptId& aAttempt, bool aServerLost,
                            TimePoint aNow) -> void
{
  queue_.OnEnded(aAttempt, aServerLost, aNow);
}

auto SuspectRunner::ReadTurn(const TransactReply& aReply) -> SoloQueue::Turn
{
  switch (aReply.status_) {
    case TableStatus::Done:
      turnVersion_ = aReply.versions_.front();
      return SoloQueue::Turn::Ours;
    case TableStatus::Conflict:
      // The row is ours if an earlier write succeeded but its reply was lost.
      turnVersion_ = aReply.conflicts_.front().version_;
      return aReply.conflicts_.front().value_ == self_
               ? SoloQueue::Turn::Ours
               : SoloQueue::Turn::Others;
    case TableStatus::Unavailable:
      return SoloQueue::Turn::Refused;
    case TableStatus::Lost:
      break;
  }
  return SoloQueue::Turn::Unknown;
}

auto SuspectRunner::TakeTurn() -> void
{
  tableBusy_ = true;
  table_.Transact({ { .key_ = TurnRow(),
                      .value_ = self_,
                      .expected_ = 0,
                      .expiresAfterSeconds_ = kTurnSeconds } },
                  [this](const TransactReply& aReply) {
                    tableBusy_ = false;
                    queue_.OnTurn(ReadTurn(aReply), SteadyClock{}.Now());
                  });
}

auto SuspectRunner::ReleaseTurn() -> void
{
  if (!queue_.Server().Empty()) {
    queue_.OnFreed();
    handlers_.onReserved_({});
  }
  tableBusy_ = true;
  table_.Transact(
    { { .key_ = TurnRow(), .expected_ = turnVersion_ } },
    [this](const TransactReply& aReply) {
      tableBusy_ = false;
      // A conflict means that the row has expired, or that an earlier delete
      // succeeded but its reply was lost.
      const auto released = aReply.status_ == TableStatus::Done ||
                            aReply.status_ == TableStatus::Conflict;
      if (!released) {
        Log::Write(LogLevel::Warning, "turn to run suspects not released yet",
                   { { "remedy", "check the table service" } });
      }
      queue_.OnReleased(released, SteadyClock{}.Now());
    });
}

auto SuspectRunner::Tick(TimePoint aNow) -> void
{
  for (const auto& late : queue_.TakeInfeasible(aNow)) {
    handlers_.refuse_(late);
  }
  if (tableBusy_) {
    return;
  }
  switch (queue_.Next(aNow)) {
    case SoloQueue::Step::TakeTurn:
      TakeTurn();
      break;
    case SoloQueue::Step::Reserve: {
      const auto server = handlers_.pickServer_(queue_.PoolOfHead());
      queue_.OnReserved(server, aNow);
      handlers_.onReserved_(queue_.Server());
      break;
    }
    case SoloQueue::Step::Drain:
      if (handlers_.isEmpty_(queue_.Server())) {
        queue_.OnEmpty(aNow);
      }
      break;
    case SoloQueue::Step::Start: {
      const auto work = queue_.Head();
      queue_.OnStarted();
      handlers_.start_(work, queue_.Server());
      break;
    }
    case SoloQueue::Step::Release:
      ReleaseTurn();
      break;
    case SoloQueue::Step::Idle:
    case SoloQueue::Step::Running:
      break;
  }
}

} // namespace goldcrestcroft

#pragma once

#include "../../Platform.h"

#include <deque>
#include <optional>

namespace goldcrestcroft {

/** \brief Identifies a write that was added to a TableBatcher. */
using WriteTicket = std::uint64_t;

/** \brief The outcome of one write of a batch. */
struct WriteResult
{
  WriteTicket ticket_ = 0;
  TableStatus status_ = TableStatus::Lost;
  /** For Done: the new version. */
  RowVersion version_ = 0;
  /** For Conflict: the current row; version 0 if it is absent. */
  Row row_;
};

/** \brief Batches conditional single-row writes into few transactions.
 *
 * One transaction is in flight at a time, and no two start within a period,
 * so that the write rate of a host is bounded whatever its load. The queue
 * is bounded too. A write whose condition fails is removed from the batch,
 * and the others are sent again. */
class TableBatcher
{
public:
  struct Options
  {
    Duration period_ = std::chrono::milliseconds{ 20 };
    std::size_t maxBatch_ = 64;
    std::size_t maxQueue_ = 4096;
  };

  explicit TableBatcher(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Queues a write. Returns no ticket if the queue is full. */
  auto Add(RowWrite aWrite) -> std::optional<WriteTicket>;
  /** \brief The next transaction, when one is due. */
  auto NextBatch(TimePoint aNow) -> std::optional<std::vector<RowWrite>>;
  /** \brief Handles the reply to the transaction in flight. Returns the
   * writes that ended with it. */
  auto OnReply(const TransactReply& aReply) -> std::vector<WriteResult>;
  /** \brief When the next transaction is due, if a write is queued and no
   * transaction is in flight. */
  [[nodiscard]] auto NextDue() const -> std::optional<TimePoint>;
  [[nodiscard]] auto Queued() const -> std::size_t { return queue_.size(); }

private:
  struct Pending
  {
    WriteTicket ticket_ = 0;
    RowWrite write_;
  };

  auto OnConflict(const TransactReply& aReply) -> std::vector<WriteResult>;

  Options options_;
  std::deque<Pending> queue_;
  std::vector<Pending> underWay_;
  WriteTicket lastTicket_ = 0;
  TimePoint nextStart_{};
};

} // namespace goldcrestcroft

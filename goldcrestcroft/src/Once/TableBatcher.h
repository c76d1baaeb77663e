#pragma once

#include "../../Platform.h"

#include <deque>
#include <optional>

namespace goldcrestcroft {

/** \brief Names a write that was given to a TableBatcher. */
using WriteTicket = std::uint64_t;

/** \brief How one write of a batch ended. */
struct WriteResult
{
  WriteTicket ticket_ = 0;
  TableStatus status_ = TableStatus::Lost;
  /** Done: the new version. */
  RowVersion version_ = 0;
  /** Conflict: the row as it is; version 0 where it is absent. */
  Row row_;
};

/** \brief Gathers single-row conditional writes into few transactions.
 *
 * One transaction is under way at a time, and no two start within a period, so
 * a host's writes a second are bounded whatever its load. The queue is bounded
 * too. A write whose condition fails leaves the batch; the rest goes again. */
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

  /** \brief Queues a write, or gives none when the queue is full. */
  auto Add(RowWrite aWrite) -> std::optional<WriteTicket>;
  /** \brief The next transaction, when one is due. */
  auto NextBatch(TimePoint aNow) -> std::optional<std::vector<RowWrite>>;
  /** \brief The transaction under way ended. Returns the writes that ended
   * with it. */
  auto OnReply(const TransactReply& aReply) -> std::vector<WriteResult>;
  /** \brief When NextBatch is worth asking, if anything waits. */
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

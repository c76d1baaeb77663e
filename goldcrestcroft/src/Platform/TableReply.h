#pragma once

#include "Row.h"

#include <vector>

namespace goldcrestcroft {

/** \brief The outcome of a call to the table service. */
enum class TableStatus
{
  Done,
  /** A condition did not hold; nothing was written. */
  Conflict,
  /** The service refused the call; nothing was written. */
  Unavailable,
  /** No reply: the call may have taken effect or may still do so. */
  Lost
};

/** \brief The reply to a transaction. */
struct TransactReply
{
  TableStatus status_ = TableStatus::Lost;
  /** If Done: the new version of each written row, in the writes' order. */
  std::vector<RowVersion> versions_;
  /** If Conflict: the current state of the rows whose condition failed; an
   * absent row has version 0. */
  std::vector<Row> conflicts_;

  auto operator<=>(const TransactReply&) const = default;
};

/** \brief The reply to a read: the rows that are present. */
struct ReadReply
{
  TableStatus status_ = TableStatus::Lost;
  std::vector<Row> rows_;

  auto operator<=>(const ReadReply&) const = default;
};

} // namespace goldcrestcroft

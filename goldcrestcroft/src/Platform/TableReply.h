#pragma once

#include "Row.h"

#include <vector>

namespace goldcrestcroft {

/** \brief How a call to the table service ended. */
enum class TableStatus
{
  Done,
  /** A condition did not hold; nothing was written. */
  Conflict,
  /** The service refused the call; nothing was written. */
  Unavailable,
  /** No answer: the call may have taken effect or may yet. */
  Lost
};

/** \brief The answer to a transaction. */
struct TransactReply
{
  TableStatus status_ = TableStatus::Lost;
  /** Done: the new version of each written row, in the order of the writes. */
  std::vector<RowVersion> versions_;
  /** Conflict: the rows whose condition failed as they are; an absent one has
   * version 0. */
  std::vector<Row> conflicts_;

  auto operator<=>(const TransactReply&) const = default;
};

/** \brief The answer to a read: the rows that are present. */
struct ReadReply
{
  TableStatus status_ = TableStatus::Lost;
  std::vector<Row> rows_;

  auto operator<=>(const ReadReply&) const = default;
};

} // namespace goldcrestcroft

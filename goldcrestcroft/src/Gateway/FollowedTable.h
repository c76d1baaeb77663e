#pragma once

#include "../../Core.h"
#include "../../Membership.h"
#include "TableScan.h"

#include <optional>

namespace goldcrestcroft {

/** \brief State of this host's following of one table of the store. */
struct FollowedTable
{
  explicit FollowedTable(TableWatch aWatch)
    : watch_(std::move(aWatch))
  {
  }

  TableWatch watch_;
  StoreVersion version_;
  /** Whether it was read completely. */
  bool known_ = false;
  bool answering_ = true;
  /** The read of the whole table that is under way, and when it began. It is
   * kept over failed calls. */
  std::optional<TableScan> scan_;
  TimePoint scanBeganAt_;
  /** When the pending call for changes was sent. */
  std::optional<TimePoint> sentAt_;
  std::optional<TableWatch::Role> role_;
  /** The time as of which the view that has become stale was complete. */
  std::optional<TimePoint> staleSince_;
};

} // namespace goldcrestcroft

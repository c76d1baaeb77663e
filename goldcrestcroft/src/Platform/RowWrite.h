#pragma once

#include "Row.h"

#include <optional>

namespace goldcrestcroft {

/** \brief One conditional write of a transaction. */
struct RowWrite
{
  RowKey key_;
  /** No value erases the row. */
  std::optional<std::string> value_;
  /** The version that the row must have; 0 insists that it is absent, none
   * writes in any case. */
  std::optional<RowVersion> expected_;
  /** Seconds after which the service may drop the row; 0 keeps it. */
  std::uint64_t expiresAfterSeconds_ = 0;

  auto operator<=>(const RowWrite&) const = default;
};

} // namespace goldcrestcroft

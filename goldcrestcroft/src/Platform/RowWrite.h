#pragma once

#include "Row.h"

#include <optional>

namespace goldcrestcroft {

/** \brief One write of a transaction, optionally conditional on the row
 * version. */
struct RowWrite
{
  RowKey key_;
  /** The new value; if absent, the row is deleted. */
  std::optional<std::string> value_;
  /** The version that the row must have. 0 requires that the row is absent; if
   * not set, the write is unconditional. */
  std::optional<RowVersion> expected_;
  /** Seconds after which the service may remove the row; 0 means never. */
  std::uint64_t expiresAfterSeconds_ = 0;

  auto operator<=>(const RowWrite&) const = default;
};

} // namespace goldcrestcroft

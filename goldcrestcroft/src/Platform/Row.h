#pragma once

#include "RowKey.h"

#include <cstdint>

namespace goldcrestcroft {

/** \brief Increases with every write of a row; 0 means an absent row. */
using RowVersion = std::uint64_t;

/** \brief A row as read from the table service. */
struct Row
{
  RowKey key_;
  std::string value_;
  RowVersion version_ = 0;

  auto operator<=>(const Row&) const = default;
};

} // namespace goldcrestcroft

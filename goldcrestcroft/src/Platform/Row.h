#pragma once

#include "RowKey.h"

#include <cstdint>

namespace goldcrestcroft {

/** \brief Grows with every write of a row; 0 stands for an absent row. */
using RowVersion = std::uint64_t;

/** \brief A row as it was read. */
struct Row
{
  RowKey key_;
  std::string value_;
  RowVersion version_ = 0;

  auto operator<=>(const Row&) const = default;
};

} // namespace goldcrestcroft

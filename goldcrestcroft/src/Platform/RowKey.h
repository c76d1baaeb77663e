#pragma once

#include <compare>
#include <string>

namespace goldcrestcroft {

/** \brief The table and the key that identify a row in the table service. */
struct RowKey
{
  std::string table_;
  std::string key_;

  auto operator<=>(const RowKey&) const = default;
};

} // namespace goldcrestcroft

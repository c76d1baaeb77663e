#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace goldcrestcroft {

/** \brief Age of a row, or of a view of a table, of the platform's store.
 *
 * The store numbers its transactions. When it is restored from an older copy it
 * begins a new era, in which it assigns the numbers after those in the copy
 * again. A number thus identifies a change only within its era. */
struct StoreVersion
{
  /** 0 for stores that do not report eras. */
  std::uint64_t era_ = 0;
  std::uint64_t number_ = 0;

  auto operator<=>(const StoreVersion&) const = default;
};

/** \brief "ERA.NUMBER", for logs. */
inline auto ToString(const StoreVersion& aVersion) -> std::string
{
  return std::to_string(aVersion.era_) + "." + std::to_string(aVersion.number_);
}

} // namespace goldcrestcroft

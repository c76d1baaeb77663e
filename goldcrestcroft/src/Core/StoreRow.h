#pragma once

#include "StoreVersion.h"

#include <string>

namespace goldcrestcroft {

/** \brief One row of a table of the platform's store, or the notice that it was
 * removed. */
struct StoreRow
{
  std::string key_;
  std::string value_;
  StoreVersion version_;
  bool removed_ = false;

  auto operator<=>(const StoreRow&) const = default;
};

} // namespace goldcrestcroft

#pragma once

#include "Net.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Whether the header applies to a single connection only and is not
 * passed on. */
auto IsHopByHop(http::field aName) -> bool;

/** \brief Whether aNames contains the name, compared case-insensitively. */
auto IsNamed(const std::vector<std::string>& aNames, beast::string_view aName)
  -> bool;

} // namespace goldcrestcroft

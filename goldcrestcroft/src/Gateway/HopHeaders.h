#pragma once

#include "Net.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Whether the header concerns one connection only, and is not passed
 * on. */
auto IsHopByHop(http::field aName) -> bool;

/** \brief Whether the name is among them, in any case of letters. */
auto IsNamed(const std::vector<std::string>& aNames, beast::string_view aName)
  -> bool;

} // namespace goldcrestcroft

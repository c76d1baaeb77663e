#pragma once

#include <string_view>

namespace goldcrestcroft {

/** \brief Whether a Transfer-Encoding with this value applies chunked and no
 * other coding. */
auto IsChunkedOnly(std::string_view aValue) -> bool;

} // namespace goldcrestcroft

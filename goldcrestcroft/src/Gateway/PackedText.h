#pragma once

#include "../../Core.h"

#include <string_view>

namespace goldcrestcroft {

/** \brief A text as it goes between hosts: its length, and it deflated. A
 * configuration of hundreds of routes shrinks to a small part, which decides
 * how fast it spreads over links of 10 Mbit/s. */
auto Pack(std::string_view aText) -> std::string;

/** \brief The text; fails with Protocol on other bytes, and on a text longer
 * than aMostBytes. */
auto Unpack(std::string_view aPacked, std::size_t aMostBytes)
  -> Result<std::string>;

} // namespace goldcrestcroft

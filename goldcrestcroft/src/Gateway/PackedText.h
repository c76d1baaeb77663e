#pragma once

#include "../../Core.h"

#include <string_view>

namespace goldcrestcroft {

/** \brief Returns the text as it is sent between hosts: its length, followed by
 * the deflated text. A configuration of hundreds of routes shrinks to a small
 * part of its size, which determines how fast it spreads over links of 10
 * Mbit/s. */
auto Pack(std::string_view aText) -> std::string;

/** \brief Returns the original text. Fails with Protocol on malformed bytes,
 * and on a text longer than aMaxBytes. */
auto Unpack(std::string_view aPacked, std::size_t aMaxBytes)
  -> Result<std::string>;

} // namespace goldcrestcroft

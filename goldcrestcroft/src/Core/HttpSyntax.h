#pragma once

#include <string_view>

namespace goldcrestcroft {

/** \brief Whether the number is a status code of HTTP. */
constexpr auto IsStatusCode(long aNumber) -> bool
{
  // RFC 9110, section 15. Beyond 599 there is no class that a caller could act
  // on; such numbers denote errors inside a program.
  constexpr auto kFirst = 100;
  constexpr auto kLast = 599;
  return aNumber >= kFirst && aNumber <= kLast;
}

/** \brief Whether a line of a head or a trailer, with its line end, is a field
 * or the empty line at the end. A folded line is neither. */
auto IsFieldLine(std::string_view aLine) -> bool;

} // namespace goldcrestcroft

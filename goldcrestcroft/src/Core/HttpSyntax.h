#pragma once

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

} // namespace goldcrestcroft

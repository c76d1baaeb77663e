#pragma once

#include <string>
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

/** \brief Whether the text, as it is, can be the value of a field that every
 * recipient reads as this text: not empty, no control characters, and no white
 * space at its ends. */
auto IsFieldValue(std::string_view aText) -> bool;

/** \brief The text with spaces in place of characters that end a field or that
 * its value must not have. */
auto ToFieldValue(std::string aText) -> std::string;

/** \brief Appends the percent-encoding of a byte (RFC 3986, section 2.1). */
auto AppendPercentEncoded(std::string& aText, char aByte) -> void;

/** \brief The path, with a query if it has one, as the target of a request.
 * Percent-encodes characters that end a target or that it must not have; what
 * is encoded already stays as it is. */
auto ToRequestTarget(std::string_view aPath) -> std::string;

} // namespace goldcrestcroft

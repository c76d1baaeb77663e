#include "HttpSyntax.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

constexpr char kDelete = '\x7f';

auto IsAlphanumeric(char aByte) -> bool
{
  return (aByte >= '0' && aByte <= '9') || (aByte >= 'A' && aByte <= 'Z') ||
         (aByte >= 'a' && aByte <= 'z');
}

/** A character of a token (RFC 9110, section 5.6.2). */
auto IsTokenCharacter(char aByte) -> bool
{
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return IsAlphanumeric(aByte) || kOthers.find(aByte) != std::string_view::npos;
}

/** A character of a field's value (RFC 9110, section 5.5). */
auto IsValueCharacter(char aByte) -> bool
{
  const auto isControl =
    static_cast<unsigned char>(aByte) < ' ' || aByte == kDelete;
  return aByte == '\t' || !isControl;
}

/** A character of a path or a query (RFC 3986, sections 3.3 and 3.4). */
auto IsTargetCharacter(char aByte) -> bool
{
  constexpr std::string_view kOthers = "/?:@!$&'()*+,;=-._~%";
  return IsAlphanumeric(aByte) || kOthers.find(aByte) != std::string_view::npos;
}

auto WithoutLineEnd(std::string_view aLine) -> std::string_view
{
  for (const auto byte : { '\n', '\r' }) {
    if (!aLine.empty() && aLine.back() == byte) {
      aLine.remove_suffix(1);
    }
  }
  return aLine;
}

} // namespace

auto IsFieldLine(std::string_view aLine) -> bool
{
  const auto line = WithoutLineEnd(aLine);
  if (line.empty()) {
    return true;
  }
  const auto colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos) {
    return false;
  }
  const auto name = line.substr(0, colon);
  const auto value = line.substr(colon + 1);
  return std::all_of(name.begin(), name.end(), IsTokenCharacter) &&
         std::all_of(value.begin(), value.end(), IsValueCharacter);
}

auto IsFieldValue(std::string_view aText) -> bool
{
  const auto isSpace = [](char aByte) { return aByte == ' ' || aByte == '\t'; };
  return !aText.empty() && !isSpace(aText.front()) && !isSpace(aText.back()) &&
         std::all_of(aText.begin(), aText.end(), IsValueCharacter);
}

auto ToFieldValue(std::string aText) -> std::string
{
  std::replace_if(
    aText.begin(), aText.end(),
    [](char aByte) { return !IsValueCharacter(aByte); }, ' ');
  return aText;
}

auto AppendPercentEncoded(std::string& aText, char aByte) -> void
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  const auto byte = static_cast<unsigned char>(aByte);
  aText += { '%', kDigits[byte >> 4U], kDigits[byte & 0xFU] };
}

auto ToRequestTarget(std::string_view aPath) -> std::string
{
  std::string target = aPath.starts_with('/') ? "" : "/";
  for (const auto character : aPath) {
    if (IsTargetCharacter(character)) {
      target += character;
    } else {
      AppendPercentEncoded(target, character);
    }
  }
  return target;
}

} // namespace goldcrestcroft

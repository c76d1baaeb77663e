#include "TransferCoding.h"

#include <algorithm>
#include <strings.h>

namespace goldcrestcroft {

namespace {

auto IsChunked(std::string_view aCoding) -> bool
{
  constexpr std::string_view kChunked = "chunked";
  return aCoding.size() == kChunked.size() &&
         strncasecmp(aCoding.data(), kChunked.data(), aCoding.size()) == 0;
}

auto Trimmed(std::string_view aText) -> std::string_view
{
  constexpr std::string_view kBlanks = " \t";
  const auto first = aText.find_first_not_of(kBlanks);
  return first == std::string_view::npos
           ? std::string_view()
           : aText.substr(first, aText.find_last_not_of(kBlanks) - first + 1);
}

} // namespace

auto IsChunkedOnly(std::string_view aValue) -> bool
{
  auto codings = 0;
  while (!aValue.empty()) {
    const auto comma = std::min(aValue.find(','), aValue.size());
    const auto coding = Trimmed(aValue.substr(0, comma));
    aValue.remove_prefix(std::min(comma + 1, aValue.size()));
    // Empty elements of a list are ignored (RFC 9110, section 5.6.1).
    if (coding.empty()) {
      continue;
    }
    if (!IsChunked(coding)) {
      return false;
    }
    ++codings;
  }
  return codings == 1;
}

} // namespace goldcrestcroft

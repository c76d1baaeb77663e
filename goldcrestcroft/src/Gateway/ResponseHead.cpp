#include "ResponseHead.h"

#include "../Core/TransferCoding.h"

#include <algorithm>

namespace goldcrestcroft {

auto CheckHead(const http::response_header<>& aHead) -> ResponseDefect
{
  if (!IsStatusCode(aHead.result_int())) {
    return ResponseDefect::Status;
  }
  // No request asks for a transfer coding. The parser takes a body in another
  // one for plain, and callers, who do not get the field, would do so too.
  const auto [first, last] = aHead.equal_range(http::field::transfer_encoding);
  const auto isReadable = std::all_of(first, last, [](const auto& aField) {
    const auto value = aField.value();
    return IsChunkedOnly({ value.data(), value.size() });
  });
  return isReadable ? ResponseDefect::None : ResponseDefect::TransferCoding;
}

} // namespace goldcrestcroft

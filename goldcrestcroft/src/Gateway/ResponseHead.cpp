#include "ResponseHead.h"

namespace goldcrestcroft {

auto CheckHead(const http::response_header<>& aHead) -> ResponseDefect
{
  return IsStatusCode(aHead.result_int()) ? ResponseDefect::None
                                          : ResponseDefect::Status;
}

} // namespace goldcrestcroft

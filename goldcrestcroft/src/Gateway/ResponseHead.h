#pragma once

#include "Net.h"
#include "ResponseEnd.h"

namespace goldcrestcroft {

/** \brief What is invalid in a head that the parser accepts. Nothing that an
 * invalid head states may be used. */
auto CheckHead(const http::response_header<>& aHead) -> ResponseDefect;

} // namespace goldcrestcroft

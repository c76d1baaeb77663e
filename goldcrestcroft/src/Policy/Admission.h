#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief Whether a request can complete before its deadline and, if not, after
 * what time the caller should retry. */
struct Admission
{
  bool admitted_ = true;
  Duration retryAfter_{ 0 };

  auto operator<=>(const Admission&) const = default;
};

} // namespace goldcrestcroft

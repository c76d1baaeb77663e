#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief Whether a request can be done in time, and if not, when to return. */
struct Admission
{
  bool admitted_ = true;
  Duration retryAfter_{ 0 };

  auto operator<=>(const Admission&) const = default;
};

} // namespace goldcrestcroft

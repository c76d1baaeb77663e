#pragma once

#include "Clock.h"

#include <algorithm>
#include <cstdint>

namespace goldcrestcroft {

/** \brief Exponential backoff: aFirst doubled aCount times, at most aMax. */
constexpr auto Doubled(Duration aFirst, std::uint32_t aCount, Duration aMax)
  -> Duration
{
  auto length = aFirst;
  for (; aCount > 0 && length < aMax; --aCount) {
    length *= 2;
  }
  return std::min(length, aMax);
}

} // namespace goldcrestcroft

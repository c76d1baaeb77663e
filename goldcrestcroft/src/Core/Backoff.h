#pragma once

#include "Clock.h"

#include <algorithm>
#include <cstdint>

namespace goldcrestcroft {

/** \brief aFirst doubled aTimes times, aMost at most. */
constexpr auto Doubled(Duration aFirst, std::uint32_t aTimes, Duration aMost)
  -> Duration
{
  auto length = aFirst;
  for (; aTimes > 0 && length < aMost; --aTimes) {
    length *= 2;
  }
  return std::min(length, aMost);
}

} // namespace goldcrestcroft

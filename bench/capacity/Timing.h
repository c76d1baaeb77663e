#pragma once

#include <malloc.h>

#include <chrono>

namespace bench {

/** \brief Bytes that the process has allocated. */
inline auto HeapBytes() -> double
{
  return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd);
}

/** \brief Microseconds that one call takes, over enough calls to tell. */
template<typename Call>
auto MicrosecondsOf(Call aCall) -> double
{
  using Clock = std::chrono::steady_clock;
  constexpr auto kAtLeast = std::chrono::milliseconds{ 60 };
  const auto start = Clock::now();
  auto calls = 0;
  do {
    aCall();
    ++calls;
  } while (Clock::now() - start < kAtLeast);
  return std::chrono::duration<double, std::micro>(Clock::now() - start)
           .count() /
         calls;
}

} // namespace bench

#pragma once

#include <malloc.h>

#include <chrono>

namespace bench {

/** \brief Returns the number of bytes that the process has allocated on the
 * heap. */
inline auto HeapBytes() -> double
{
  return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd);
}

/** \brief Returns the mean duration of a call in microseconds. The call is
 * repeated for at least kMinTime, so that short calls can be measured. */
template<typename Call>
auto MicrosecondsOf(Call aCall) -> double
{
  using Clock = std::chrono::steady_clock;
  constexpr auto kMinTime = std::chrono::milliseconds{ 60 };
  const auto start = Clock::now();
  auto calls = 0;
  do {
    aCall();
    ++calls;
  } while (Clock::now() - start < kMinTime);
  return std::chrono::duration<double, std::micro>(Clock::now() - start)
           .count() /
         calls;
}

} // namespace bench

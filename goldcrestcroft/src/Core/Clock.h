#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>

namespace goldcrestcroft {

using Duration = std::chrono::microseconds;

/** \brief A timeline without a defined epoch; only differences matter. */
struct MonotonicTimeline
{};

using TimePoint = std::chrono::time_point<MonotonicTimeline, Duration>;

/** \brief A source of the current time, injected into decision logic.
 * \sa SteadyClock, VirtualClock */
template<typename T>
concept Clock = requires(const T& aClock)
{
  {
    aClock.Now()
    } -> std::same_as<TimePoint>;
};

/** \brief The machine's monotonic clock. */
struct SteadyClock
{
  [[nodiscard]] auto Now() const -> TimePoint
  {
    return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
  }
};

/** \brief A manually advanced clock, for tests and benchmarks. */
class VirtualClock
{
public:
  [[nodiscard]] auto Now() const -> TimePoint { return now_; }
  auto Advance(Duration aBy) -> void { now_ += aBy; }
  auto AdvanceTo(TimePoint aTo) -> void { now_ = std::max(now_, aTo); }

private:
  TimePoint now_{ std::chrono::hours{ 1 } };
};

/** \brief A duration as fractional milliseconds, for logs and reports. */
inline auto ToMilliseconds(Duration aDuration) -> double
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace goldcrestcroft

#include "LimitWorld.h"

#include <algorithm>

namespace testing {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

namespace {

/** Start of the measurement of the limit's use. */
constexpr auto kSettled = milliseconds{ 9000 };

} // namespace

auto LimitWorld::MaxWithin(Duration aWindow, bool aOnlyCounted) const
  -> std::size_t
{
  std::deque<TimePoint> window;
  std::size_t most = 0;
  for (const auto& arrival : arrivals_) {
    if (aOnlyCounted && (!arrival.counts_ || arrival.at_ < begin_ + kContact)) {
      continue;
    }
    window.push_back(arrival.at_);
    while (arrival.at_ - window.front() >= aWindow) {
      window.pop_front();
    }
    most = std::max(most, window.size());
  }
  return most;
}

auto LimitWorld::Evaluate() -> void
{
  std::size_t used = 0;
  for (const auto& arrival : arrivals_) {
    used += arrival.at_ >= begin_ + kSettled ? 1 : 0;
  }
  outcome_.maxIn4s_ = MaxWithin(std::chrono::seconds{ 4 }, true);
  outcome_.maxIn1s_ = MaxWithin(std::chrono::seconds{ 1 }, false);
  const auto measured = std::chrono::duration<double>(end_ - begin_ - kSettled);
  outcome_.used_ =
    static_cast<double>(used) /
    (measured.count() * std::min(options_.limit_, options_.wanted_));
}

} // namespace testing

#pragma once

#include <goldcrestcroft/Core.h>

#include <functional>
#include <queue>
#include <random>

namespace testing {

/** \brief Runs scheduled actions on a virtual clock, with a seeded random
 * generator. */
class VirtualWorld
{
protected:
  using TimePoint = goldcrestcroft::TimePoint;
  using Duration = goldcrestcroft::Duration;

  explicit VirtualWorld(unsigned aSeed, std::uint64_t aNumbers = 0)
    : random_(aSeed)
    , numbers_(aNumbers)
  {
  }

  auto After(Duration aDelay, std::function<void()> aAction) -> void
  {
    events_.push({ clock_.Now() + aDelay, ++numbers_, std::move(aAction) });
  }
  auto Random(std::size_t aBelow) -> std::size_t { return random_() % aBelow; }
  auto Between(int aMinMs, int aMaxMs) -> Duration
  {
    const auto span = static_cast<std::size_t>(aMaxMs - aMinMs) * 1000;
    return std::chrono::milliseconds{ aMinMs } +
           Duration{ static_cast<std::int64_t>(Random(span)) };
  }
  auto RunUntil(TimePoint aEnd) -> void
  {
    while (!events_.empty() && events_.top().at_ < aEnd) {
      const auto event = events_.top();
      events_.pop();
      clock_.AdvanceTo(event.at_);
      event.action_();
    }
  }

  goldcrestcroft::VirtualClock clock_;
  std::mt19937_64 random_;
  /** The last unique number that was handed out. */
  std::uint64_t numbers_ = 0;

private:
  struct Event
  {
    TimePoint at_;
    std::uint64_t number_ = 0;
    std::function<void()> action_;
    auto operator<(const Event& aOther) const -> bool
    {
      return std::tie(aOther.at_, aOther.number_) < std::tie(at_, number_);
    }
  };

  std::priority_queue<Event> events_;
};

} // namespace testing

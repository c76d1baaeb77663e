#pragma once

#include <goldcrestcroft/Core.h>

#include <functional>
#include <queue>
#include <vector>

namespace bench {

using goldcrestcroft::Duration;
using goldcrestcroft::TimePoint;

/** \brief Runs events on a virtual clock in order of time. Events with the same
 * time run in the order in which they were scheduled. */
class EventQueue
{
public:
  [[nodiscard]] auto Now() const -> TimePoint { return clock_.Now(); }

  auto At(TimePoint aTime, std::function<void()> aRun) -> void
  {
    events_.push({ std::max(aTime, Now()), nextSequence_++, std::move(aRun) });
  }
  auto After(Duration aDelay, std::function<void()> aRun) -> void
  {
    At(Now() + aDelay, std::move(aRun));
  }

  /** \brief Runs all events up to and including aEnd and advances the clock to
   * aEnd. */
  auto RunUntil(TimePoint aEnd) -> void
  {
    while (!events_.empty() && events_.top().time_ <= aEnd) {
      auto event = events_.top();
      events_.pop();
      clock_.AdvanceTo(event.time_);
      event.run_();
    }
    clock_.AdvanceTo(aEnd);
  }

private:
  struct Event
  {
    TimePoint time_;
    std::uint64_t sequence_;
    std::function<void()> run_;

    auto operator<(const Event& aOther) const -> bool
    {
      return std::tie(aOther.time_, aOther.sequence_) <
             std::tie(time_, sequence_);
    }
  };

  goldcrestcroft::VirtualClock clock_;
  std::priority_queue<Event> events_;
  std::uint64_t nextSequence_ = 0;
};

} // namespace bench

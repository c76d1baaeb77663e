#pragma once

#include "EventQueue.h"

#include <list>
#include <unordered_map>

namespace bench {

using goldcrestcroft::AttemptId;

/** \brief Simulated backend server: a queue in front of a fixed number of
 * slots. Its own work starts before borrowed work, and each kind in order of
 * arrival. Attempts can be cancelled at any time. */
class FakeServer
{
public:
  using OnDone = std::function<void()>;

  FakeServer(EventQueue& aEvents, unsigned aSlots)
    : events_(aEvents)
    , slots_(aSlots)
  {
  }

  /** \brief Queues an attempt. Returns false when the server is down. */
  auto Accept(const AttemptId& aId, Duration aService, bool aBorrowed,
              OnDone aDone) -> bool;
  auto Cancel(const AttemptId& aId) -> void;
  auto SetSlowness(double aFactor) -> void { slowness_ = aFactor; }
  /** \brief Takes the server down, discards all its attempts and calls aOnLost
   * for each of them. */
  auto Crash(const std::function<void(const AttemptId&)>& aOnLost) -> void;
  auto Restart() -> void { down_ = false; }

  [[nodiscard]] auto InFlight() const -> std::size_t
  {
    return running_.size() + waiting_.size();
  }
  [[nodiscard]] auto IsDown() const -> bool { return down_; }
  [[nodiscard]] auto Slots() const -> unsigned { return slots_; }
  /** \brief Returns the total slot time of the attempts that have completed,
   * been cancelled or been lost. Attempts that still run are not included. */
  [[nodiscard]] auto BusyTime() const -> Duration { return busy_; }

private:
  struct Job
  {
    AttemptId id_;
    Duration service_{ 0 };
    bool borrowed_ = false;
    OnDone done_;
    TimePoint startedAt_;
    std::uint64_t run_ = 0;
  };

  auto StartNext() -> void;
  auto Finish(const AttemptId& aId, std::uint64_t aRun) -> void;

  EventQueue& events_;
  unsigned slots_;
  double slowness_ = 1.0;
  bool down_ = false;
  Duration busy_{ 0 };
  std::uint64_t runs_ = 0;
  std::list<Job> waiting_;
  std::unordered_map<AttemptId, Job> running_;
};

} // namespace bench

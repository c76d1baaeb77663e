#pragma once

#include "WorkItem.h"

#include <concepts>
#include <deque>
#include <optional>
#include <vector>

namespace goldcrestcroft {

/** \brief Runs suspects one at a time, each alone on a server.
 *
 * The host takes the turn, a lock shared by all hosts that at most one of them
 * holds. It then reserves a server, waits until the server is empty, and runs
 * its suspects there one after another. This is a state machine without I/O:
 * the host acts on Next() after each event. */
class SoloQueue
{
public:
  enum class Step
  {
    Idle,
    /** Try to take the turn and call OnTurn. */
    TakeTurn,
    /** Reserve a server of PoolOfHead() and call OnReserved. */
    Reserve,
    /** Call OnEmpty once Server() has no requests of any host. */
    Drain,
    /** Start Head() at Server() and call OnStarted. */
    Start,
    /** A suspect runs; call OnEnded when it ends. */
    Running,
    /** Release the turn and call OnReleased. */
    Release
  };

  /** \brief Outcome of an attempt to take the turn. */
  enum class Turn
  {
    Ours,
    /** Another host holds the turn. */
    Others,
    /** The attempt was refused; it wrote nothing. */
    Refused,
    /** No reply: the turn may be held. It is requested again, if only to
     * release it. */
    Unknown
  };

  struct Options
  {
    /** Time within which the reservation reaches the peers and their updated
     * load reaches this host. */
    Duration settle_ = std::chrono::milliseconds{ 600 };
    /** Time after which this host starts no further suspect and releases the
     * turn to other hosts. It is a quarter of the users' deadline of 8 s, so
     * that several hosts can run suspects within that deadline, and leaves
     * enough time to settle, drain and run some suspects. */
    Duration hold_ = std::chrono::seconds{ 2 };
    /** Time between attempts to take or to release the turn. */
    Duration retry_ = std::chrono::milliseconds{ 100 };
    /** Time from the release of the turn to the next attempt to take it. Hosts
     * that wait for the turn try twice within this time. */
    Duration yield_ = std::chrono::milliseconds{ 200 };
    std::size_t capacity_ = 256;
  };

  explicit SoloQueue(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Queues a suspect; false if the queue is full. */
  auto Add(WorkItem aWork) -> bool;
  auto Remove(const AttemptId& aAttempt) -> bool;
  /** \brief Removes and returns the queued suspects for which aChoose holds. */
  template<std::predicate<const WorkItem&> Choose>
  auto TakeIf(Choose&& aChoose) -> std::vector<WorkItem>
  {
    std::vector<WorkItem> taken;
    std::erase_if(queue_, [&](const WorkItem& aWork) {
      if (!aChoose(aWork)) {
        return false;
      }
      taken.push_back(aWork);
      return true;
    });
    return taken;
  }
  /** \brief Removes and returns queued suspects that can no longer meet their
   * deadline. */
  auto TakeInfeasible(TimePoint aNow) -> std::vector<WorkItem>;

  [[nodiscard]] auto Next(TimePoint aNow) -> Step;
  [[nodiscard]] auto Head() const -> const WorkItem& { return queue_.front(); }
  [[nodiscard]] auto PoolOfHead() const -> const PoolId&
  {
    return queue_.front().pool_;
  }
  [[nodiscard]] auto Server() const -> const ServerId& { return server_; }
  [[nodiscard]] auto IsRunning(const AttemptId& aAttempt) const -> bool
  {
    return step_ == Step::Running && running_ == aAttempt;
  }

  auto OnTurn(Turn aTurn, TimePoint aNow) -> void;
  /** \brief The reserved server; none if the pool has no server available. */
  auto OnReserved(const std::optional<ServerId>& aServer, TimePoint aNow)
    -> void;
  auto OnEmpty(TimePoint aNow) -> void;
  auto OnStarted() -> void;
  auto OnEnded(const AttemptId& aAttempt, bool aServerLost, TimePoint aNow)
    -> void;
  /** \brief The reservation of Server() ended; the turn may still be held. */
  auto OnFreed() -> void { server_ = {}; }
  /** \brief Outcome of a release. If it is not confirmed, Next returns Release
   * again. */
  auto OnReleased(bool aConfirmed, TimePoint aNow) -> void;

private:
  Options options_;
  Step step_ = Step::Idle;
  std::deque<WorkItem> queue_;
  PoolId pool_;
  ServerId server_;
  AttemptId running_;
  TimePoint heldSince_{};
  TimePoint reservedAt_{};
  TimePoint nextTry_{};
  bool mayHoldTurn_ = false;
};

} // namespace goldcrestcroft

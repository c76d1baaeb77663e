#pragma once

#include "Work.h"

#include <concepts>
#include <deque>
#include <optional>
#include <vector>

namespace goldcrestcroft {

/** \brief Runs suspects one at a time, each alone on a server.
 *
 * The host first takes the fleet's turn, then reserves a server, waits until it
 * is empty, and runs its suspects there one after another. A pure state
 * machine: act on Next() after each event. */
class SoloQueue
{
public:
  enum class Step
  {
    Idle,
    /** Take the fleet's turn; report OnTurn. */
    TakeTurn,
    /** Reserve a server of PoolOfHead() and report OnReserved. */
    Reserve,
    /** Report OnEmpty once Server() has no requests of anybody. */
    Drain,
    /** Start Head() at Server() and report OnStarted. */
    Start,
    /** A suspect runs; report OnEnded. */
    Running,
    /** Give the turn back; report OnReleased. */
    Release
  };

  /** \brief What came of a try to take the turn. */
  enum class Turn
  {
    Ours,
    /** Another host has it. */
    Others,
    /** The try was refused; nothing was written by it. */
    Refused,
    /** No answer: asked for again, if only to give it back. */
    Unknown
  };

  struct Options
  {
    /** Reservation and peers' answers to it spread within this time. */
    Duration settle_ = std::chrono::milliseconds{ 600 };
    /** Longest hold of the fleet's turn before others get a chance: a quarter
     * of the users' deadline of 8 s, so that suspects at several hosts have
     * their turn within it, and enough to settle, drain and run some. */
    Duration hold_ = std::chrono::seconds{ 2 };
    /** Between tries to take the turn, and to give it back. */
    Duration retry_ = std::chrono::milliseconds{ 100 };
    /** From giving the turn back to asking for it again: two tries of those
     * who wait for it. */
    Duration yield_ = std::chrono::milliseconds{ 200 };
    std::size_t capacity_ = 256;
  };

  explicit SoloQueue(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief False when too many wait. */
  auto Add(Work aWork) -> bool;
  auto Remove(const AttemptId& aAttempt) -> bool;
  /** \brief Takes out the waiting suspects that aChoose picks. */
  template<std::predicate<const Work&> Choose>
  auto TakeIf(Choose&& aChoose) -> std::vector<Work>
  {
    std::vector<Work> taken;
    std::erase_if(queue_, [&](const Work& aWork) {
      if (!aChoose(aWork)) {
        return false;
      }
      taken.push_back(aWork);
      return true;
    });
    return taken;
  }
  /** \brief Waiting suspects that can no longer be done in time. */
  auto TakeInfeasible(TimePoint aNow) -> std::vector<Work>;

  [[nodiscard]] auto Next(TimePoint aNow) -> Step;
  [[nodiscard]] auto Head() const -> const Work& { return queue_.front(); }
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
  /** \brief None: the pool has no server to spare. */
  auto OnReserved(const std::optional<ServerId>& aServer, TimePoint aNow)
    -> void;
  auto OnEmpty(TimePoint aNow) -> void;
  auto OnStarted() -> void;
  auto OnEnded(const AttemptId& aAttempt, bool aServerLost, TimePoint aNow)
    -> void;
  /** \brief Server() is free for all again; the turn may still be ours. */
  auto OnFreed() -> void { server_ = {}; }
  /** \brief Whether the turn is known to be given back; if not, Release comes
   * again. */
  auto OnReleased(bool aGivenBack, TimePoint aNow) -> void;

private:
  Options options_;
  Step step_ = Step::Idle;
  std::deque<Work> queue_;
  PoolId pool_;
  ServerId server_;
  AttemptId running_;
  TimePoint heldSince_{};
  TimePoint reservedAt_{};
  TimePoint nextTry_{};
  bool mayHoldTurn_ = false;
};

} // namespace goldcrestcroft

#pragma once

#include "../Routing/EngineList.h"
#include "LostRun.h"

#include <vector>

namespace goldcrestcroft {

/** \brief A run without a whole answer, and the start of the engine that it
 * was sent to. */
struct UnansweredRun
{
  LostRun run_;
  std::string engine_;
  std::uint64_t startedAt_ = 0;
  /** The connection broke; otherwise nothing came until the time was over or
   * the caller left. */
  bool broke_ = false;

  auto operator<=>(const UnansweredRun&) const = default;
};

/** \brief Finds out whether engines ended under runs that had no whole answer.
 *
 * Connections also break while the engine goes on, and slow engines are silent
 * for long; only the end of the engine is evidence against what it ran. An
 * engine that cannot be reached just after it broke a connection has ended. For
 * all others the store tells: the entry lapses, or names a later start. */
class EndWatch
{
public:
  struct Options
  {
    /** An entry lapses after three heartbeats of 1.2 s; the rest is the lag of
     * the list and the time that a caller waits before it gives up. */
    Duration watchFor_ = std::chrono::seconds{ 8 };
    /** Runs watched; the oldest makes room. */
    std::size_t capacity_ = 2048;
    /** An answer read so soon after a run was lost may have been sent before
     * the engine ended. */
    Duration underWay_ = std::chrono::milliseconds{ 300 };
  };

  EndWatch()
    : EndWatch(Options{})
  {
  }
  explicit EndWatch(Options aOptions)
    : options_(aOptions)
  {
  }

  auto Add(const UnansweredRun& aRun, TimePoint aNow) -> void;
  /** \brief The engine answered on a connection opened at aOpenedAt, so its
   * process has lived since, and has not ended under the runs lost meanwhile.
   */
  auto OnHeard(const EngineEntry& aEngine, TimePoint aOpenedAt, TimePoint aNow)
    -> void;
  /** \brief Nothing takes connections at the engine's address. Returns the runs
   * that it ended under. */
  auto OnUnreachable(const EngineEntry& aEngine) -> std::vector<LostRun>;
  /** \brief The engines that the store names. Returns the runs whose engines
   * have ended. */
  auto OnEngines(const EngineList& aEngines, TimePoint aNow)
    -> std::vector<LostRun>;
  [[nodiscard]] auto Size() const -> std::size_t { return runs_.size(); }

private:
  Options options_;
  std::vector<UnansweredRun> runs_;
};

} // namespace goldcrestcroft

#pragma once

#include "../Routing/EngineList.h"
#include "LostRun.h"

#include <vector>

namespace goldcrestcroft {

/** \brief A run without a complete response, and the incarnation of the engine
 * that it was sent to. */
struct UnansweredRun
{
  LostRun run_;
  std::string engine_;
  std::uint64_t startedAt_ = 0;
  /** Whether the connection broke. Otherwise the engine sent nothing until the
   * run timed out or the caller disconnected. */
  bool connectionBroke_ = false;

  auto operator<=>(const UnansweredRun&) const = default;
};

/** \brief Detects whether an engine crashed during a run that got no complete
 * response.
 *
 * Connections also break while the engine keeps running, and slow engines may
 * send nothing for a long time. Only a crash of the engine is evidence against
 * the requests that it ran. An engine that is unreachable just after one of its
 * connections broke has crashed. In all other cases the store decides: the
 * entry of the engine expires or names a later incarnation. */
class CrashDetector
{
public:
  struct Options
  {
    /** How long a run is watched after it was lost. An entry in the store
     * expires after three heartbeats of 1.2 s; the rest covers the lag of the
     * engine list and the time that a caller waits before it times out. */
    Duration watchPeriod_ = std::chrono::seconds{ 8 };
    /** Maximum number of runs watched; beyond it the oldest is evicted. */
    std::size_t capacity_ = 2048;
    /** A response that is read within this time after a run was lost may have
     * been sent before the engine crashed, so it proves nothing. */
    Duration inFlightTolerance_ = std::chrono::milliseconds{ 300 };
  };

  CrashDetector()
    : CrashDetector(Options{})
  {
  }
  explicit CrashDetector(Options aOptions)
    : options_(aOptions)
  {
  }

  auto Add(const UnansweredRun& aRun, TimePoint aNow) -> void;
  /** \brief Call when the engine has responded on a connection opened at
   * aOpenedAt. Its process has been running since then, so it did not crash
   * during the runs that were lost in between. Those that were lost longer ago
   * than inFlightTolerance_ are no longer watched. */
  auto OnEngineResponse(const EngineEntry& aEngine, TimePoint aOpenedAt,
                        TimePoint aNow) -> void;
  /** \brief Call when nothing accepts connections at the engine's address.
   * Returns the runs whose connection to this incarnation broke: the engine
   * crashed during them. */
  auto OnUnreachable(const EngineEntry& aEngine) -> std::vector<LostRun>;
  /** \brief Takes the engines that the store currently lists. Returns the runs
   * whose engine incarnation is no longer listed. Runs of incarnations that
   * drain are dropped. */
  auto OnEngines(const EngineList& aEngines, TimePoint aNow)
    -> std::vector<LostRun>;
  [[nodiscard]] auto Size() const -> std::size_t { return runs_.size(); }

private:
  Options options_;
  std::vector<UnansweredRun> runs_;
};

} // namespace goldcrestcroft

#pragma once

#include "CrashDetector.h"

#include <deque>
#include <set>
#include <string>

namespace goldcrestcroft {

/** \brief Broken runs that other hosts have delegated to this one, in case that
 * the delegating host dies before it knows whether the engine crashed.
 *
 * A live host detects the crash itself (CrashDetector) and reports the run.
 * Once that host is gone, the run counts as lost as soon as the store no longer
 * lists that incarnation of the engine. As the owners change, the hosts that
 * know a run pass it on, so that it outlives each of them. */
class DelegatedRuns
{
public:
  struct Options
  {
    /** How long a run is kept: the time for which a host watches its own runs,
     * plus the time in which the death of the host itself is detected. */
    Duration retention_ = std::chrono::seconds{ 12 };
    /** Maximum number of runs kept; beyond it the oldest is evicted. */
    std::size_t capacity_ = 4096;
  };

  DelegatedRuns()
    : DelegatedRuns(Options{})
  {
  }
  explicit DelegatedRuns(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Keeps a run for aHost, which identifies one incarnation of a host;
   * aOwners have received the run, too. */
  auto Add(const UnansweredRun& aRun, const std::string& aHost,
           const std::vector<std::string>& aOwners = {}) -> void;
  /** \brief Calls aSend with each run and each of its owners, as returned by
   * aOwnersOf(request), that has not received it; aSend returns whether it was
   * sent. Call when the live hosts have changed. */
  template<typename Owners, typename Send>
  auto PassOn(Owners aOwnersOf, Send aSend) -> void
  {
    for (auto& item : runs_) {
      for (const auto& owner : aOwnersOf(item.run_.run_.request_)) {
        if (!item.recipients_.contains(owner) && aSend(item.run_, owner)) {
          item.recipients_.insert(owner);
        }
      }
    }
  }
  /** \brief Removes and returns the runs whose engines have crashed and whose
   * hosts are gone. aIsLive tells whether a host is still alive. */
  template<typename IsLive>
  auto TakeOver(const EngineList& aEngines, TimePoint aNow, IsLive aIsLive)
    -> std::vector<LostRun>
  {
    std::vector<LostRun> lost;
    // A host that has just started has not read the engine list yet.
    const auto listKnown = aEngines.size() > 0;
    std::erase_if(runs_, [&](const DelegatedRun& aItem) {
      const auto& run = aItem.run_;
      if (aNow - run.run_.ended_ >= options_.retention_ ||
          aEngines.IsDraining(run.engine_, run.startedAt_)) {
        return true;
      }
      const auto isLost = listKnown &&
                          !aEngines.IsRegistered(run.engine_, run.startedAt_) &&
                          !aIsLive(aItem.host_);
      if (isLost) {
        lost.push_back(run.run_);
      }
      return isLost;
    });
    return lost;
  }
  [[nodiscard]] auto Size() const -> std::size_t { return runs_.size(); }

private:
  struct DelegatedRun
  {
    UnansweredRun run_;
    std::string host_;
    /** Hosts that have received the run. */
    std::set<std::string> recipients_;
  };

  Options options_;
  std::deque<DelegatedRun> runs_;
};

} // namespace goldcrestcroft

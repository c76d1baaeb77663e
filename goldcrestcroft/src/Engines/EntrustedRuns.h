#pragma once

#include "EndWatch.h"

#include <deque>
#include <string>

namespace goldcrestcroft {

/** \brief Runs of other hosts that broke off, kept in case that their host ends
 * before it knows whether the engine did.
 *
 * While the host lives it finds out itself (EndWatch) and reports the run. Once
 * it is gone the run counts as soon as the store says that the engine ended. */
class EntrustedRuns
{
public:
  struct Options
  {
    /** What a host itself watches for, and the time in which its own death is
     * found. */
    Duration keepFor_ = std::chrono::seconds{ 12 };
    /** Runs kept; the oldest makes room. */
    std::size_t capacity_ = 4096;
  };

  EntrustedRuns()
    : EntrustedRuns(Options{})
  {
  }
  explicit EntrustedRuns(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief aHost names one start of a host. */
  auto Add(const UnansweredRun& aRun, const std::string& aHost) -> void;
  /** \brief Returns the runs whose engines have ended, of hosts of which
   * aIsLive says that they are gone. */
  template<typename IsLive>
  auto TakeOver(const EngineList& aEngines, TimePoint aNow, IsLive aIsLive)
    -> std::vector<LostRun>
  {
    std::vector<LostRun> lost;
    // A host that starts has not read them yet.
    const auto known = aEngines.size() > 0;
    std::erase_if(runs_, [&](const Entrusted& aItem) {
      const auto& run = aItem.run_;
      if (aNow - run.run_.ended_ >= options_.keepFor_ ||
          aEngines.IsDraining(run.engine_)) {
        return true;
      }
      const auto counts = known &&
                          !aEngines.Names(run.engine_, run.startedAt_) &&
                          !aIsLive(aItem.host_);
      if (counts) {
        lost.push_back(run.run_);
      }
      return counts;
    });
    return lost;
  }
  [[nodiscard]] auto Size() const -> std::size_t { return runs_.size(); }

private:
  struct Entrusted
  {
    UnansweredRun run_;
    std::string host_;
  };

  Options options_;
  std::deque<Entrusted> runs_;
};

} // namespace goldcrestcroft

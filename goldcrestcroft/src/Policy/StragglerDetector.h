#pragma once

#include "../../Core.h"

#include <unordered_map>
#include <vector>

namespace goldcrestcroft {

/** \brief Finds backend servers that are much slower than the others of their
 * pool, and lets them back after a probation.
 *
 * Slowness is observed over expected duration; 1 is as expected. */
class StragglerDetector
{
public:
  struct Options
  {
    /** Ejected when slower than the median by this factor. */
    double ejectFactor_ = 3.0;
    /** Let back when no slower than the median by this factor. */
    double returnFactor_ = 1.5;
    /** Observations before a verdict. */
    unsigned minSamples_ = 5;
    /** Weight of one observation. */
    double gain_ = 0.25;
    /** Time between probes of an ejected server. */
    Duration probePeriod_ = std::chrono::seconds{ 1 };
    /** At most this share of a pool is ejected. */
    double maxEjected_ = 0.34;
  };

  explicit StragglerDetector(Options aOptions)
    : options_(aOptions)
  {
  }

  auto Observe(const ServerId& aServer, double aSlowness) -> void;
  /** \brief Renews the verdicts of a pool's servers. */
  auto Judge(const std::vector<ServerId>& aPool) -> void;
  [[nodiscard]] auto IsEjected(const ServerId& aServer) const -> bool;
  /** \brief Whether one work may try an ejected server now; if so, the next
   * probe is due a period later. */
  auto TryProbe(const ServerId& aServer, TimePoint aNow) -> bool;
  [[nodiscard]] auto Slowness(const ServerId& aServer) const -> double;
  auto Forget(const ServerId& aServer) -> void { states_.erase(aServer); }

private:
  struct State
  {
    double slowness_ = 1.0;
    unsigned samples_ = 0;
    bool ejected_ = false;
    TimePoint nextProbe_;
  };

  Options options_;
  std::unordered_map<ServerId, State> states_;
};

} // namespace goldcrestcroft

#pragma once

#include "../../Core.h"

#include <unordered_map>
#include <vector>

namespace goldcrestcroft {

/** \brief Ejects backend servers that are much slower than the others of their
 * pool, and readmits them once probes show that they have recovered.
 *
 * Slowness is the ratio of observed to expected duration. */
class StragglerDetector
{
public:
  struct Options
  {
    /** A server is ejected if slower than the pool's median by this factor. */
    double ejectFactor_ = 3.0;
    /** A server is readmitted if below this multiple of the median. */
    double returnFactor_ = 1.5;
    /** Observations required before a server is judged. */
    unsigned minSamples_ = 5;
    /** Weight of one observation in the moving average. */
    double gain_ = 0.25;
    /** Time between probes of an ejected server. */
    Duration probePeriod_ = std::chrono::seconds{ 1 };
    /** Maximum fraction of a pool that is ejected. */
    double maxEjected_ = 0.34;
  };

  explicit StragglerDetector(Options aOptions)
    : options_(aOptions)
  {
  }

  auto Observe(const ServerId& aServer, double aSlowness) -> void;
  /** \brief Re-evaluates which of a pool's servers are ejected. */
  auto Reevaluate(const std::vector<ServerId>& aPool) -> void;
  [[nodiscard]] auto IsEjected(const ServerId& aServer) const -> bool;
  /** \brief Whether one work item may probe an ejected server now. If so, the
   * next probe is due after probePeriod_. */
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

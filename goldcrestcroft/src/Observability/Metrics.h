#pragma once

#include "../../Core.h"

#include <memory>
#include <string>

namespace goldcrestcroft {

/** \brief The metrics of an entry host, exposed at /metrics. Safe for all
 * threads. */
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  auto operator=(const Metrics&) -> Metrics& = delete;

  auto CountRequest(const PipelineId& aPipeline, Outcome aOutcome,
                    Duration aTook) -> void;
  auto CountAttempt(const PoolId& aPool, const std::string& aResult,
                    Duration aTook) -> void;
  /** \brief Counts responses that were dropped because they were late,
   * truncated, duplicate or belonged to another attempt. */
  auto CountDropped(unsigned aCount) -> void;
  auto CountRefused(const std::string& aReason) -> void;
  auto CountHedge(const PoolId& aPool) -> void;
  auto CountTableCall(const std::string& aResult) -> void;
  auto CountDatagram(const std::string& aDirection, std::size_t aBytes) -> void;
  auto CountDroppedSpans(std::size_t aCount) -> void;
  auto CountPoison(const std::string& aVerdict) -> void;
  auto SetConfigVersion(VersionNumber aNumber) -> void;
  auto SetWaiting(std::size_t aWaiting, std::size_t aInFlight) -> void;
  auto SetPeers(std::size_t aLive) -> void;

  /** \brief All metrics in the Prometheus text format. */
  [[nodiscard]] auto Expose() const -> std::string;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace goldcrestcroft

#pragma once

#include "../../Core.h"

#include <memory>
#include <string>

namespace goldcrestcroft {

/** \brief Counters and latencies of the gateway. Safe for all threads. */
class GatewayMetrics
{
public:
  GatewayMetrics();
  ~GatewayMetrics();
  GatewayMetrics(const GatewayMetrics&) = delete;
  auto operator=(const GatewayMetrics&) -> GatewayMetrics& = delete;

  /** \brief Counts a finished request to the service; aOutcome is "ok" or a
   * reason. */
  auto CountAnswer(const std::string& aService, const std::string& aOutcome,
                   Duration aTook) -> void;
  /** \brief Counts a finished attempt at an engine of the service. */
  auto CountAttempt(const std::string& aService, const std::string& aEnd)
    -> void;
  /** \brief Counts an engine's response by how it was framed, how its
   * connection ended, and the outcome of the attempt. */
  auto CountResponse(const std::string& aFraming,
                     const std::string& aConnection, const std::string& aEnd)
    -> void;
  /** \brief Counts any other event, by a fixed name. */
  auto Count(const std::string& aEvent) -> void;
  /** \brief Records that a timer of the thread's event loop fired aLate after
   * its due time. */
  auto ObserveLag(const std::string& aThread, Duration aLate) -> void;

  /** \brief Sets the version of the newest row that the host knows of a table
   * of the store. */
  auto SetView(const std::string& aTable, std::uint64_t aRow) -> void;
  /** \brief Sets the latest era of the store that the host knows. */
  auto SetStoreEra(std::uint64_t aEra) -> void;
  /** \brief Sets the version of the configuration in force. */
  auto SetConfiguration(std::uint64_t aVersion) -> void;
  /** \brief Sets the time since the host last had a complete view of the table.
   */
  auto SetViewAge(const std::string& aTable, Duration aAge) -> void;
  /** \brief Sets whether the host waits at the store for changes of the table.
   */
  auto SetReader(const std::string& aTable, bool aReads) -> void;

  /** \brief All metrics in the Prometheus text format. */
  [[nodiscard]] auto Expose() const -> std::string;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace goldcrestcroft

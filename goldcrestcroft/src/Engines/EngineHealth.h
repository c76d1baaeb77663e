#pragma once

#include "../../Core.h"

#include <cstdint>

namespace goldcrestcroft {

/** \brief Recent success and failure of one engine, as this host saw it.
 *
 * Consecutive failures suspend the engine for a time that doubles with each
 * suspension. After a suspension, one request at a time tries the engine
 * again. */
class EngineHealth
{
public:
  struct Options
  {
    std::uint32_t failuresToSuspend_ = 3;
    Duration firstSuspension_ = std::chrono::milliseconds{ 1000 };
    Duration maxSuspension_ = std::chrono::seconds{ 8 };
    /** If all engines are suspended, those with a share of failures below this
     * are tried before a request is refused. */
    double lastResortShare_ = 0.8;
    /** Weight of the newest response in the moving average of failures. */
    double smoothing_ = 0.2;
  };

  EngineHealth()
    : EngineHealth(Options{})
  {
  }
  explicit EngineHealth(Options aOptions)
    : options_(aOptions)
  {
  }

  auto OnSuccess() -> void;
  /** \brief The engine responded with a failure, or did not respond. */
  auto OnFailure(TimePoint aNow) -> void;
  /** \brief A connection could not be established: suspends the engine at
   * once. */
  auto OnUnreachable(TimePoint aNow) -> void;

  [[nodiscard]] auto IsUsable(TimePoint aNow) const -> bool
  {
    return aNow >= suspendedUntil_;
  }
  /** \brief Whether the suspended engine may be tried if no other engine is
   * left: it can be reached and still serves some requests. */
  [[nodiscard]] auto IsLastResort() const -> bool
  {
    return !unreachable_ && failureShare_ < options_.lastResortShare_;
  }
  /** \brief Whether the next request would be the first one after a
   * suspension. */
  [[nodiscard]] auto IsOnTrial() const -> bool { return suspensions_ > 0; }
  /** \brief Share of recent requests that failed. */
  [[nodiscard]] auto FailureShare() const -> double { return failureShare_; }

private:
  auto Suspend(TimePoint aNow) -> void;

  Options options_;
  std::uint32_t consecutiveFailures_ = 0;
  std::uint32_t suspensions_ = 0;
  double failureShare_ = 0.0;
  bool unreachable_ = false;
  TimePoint suspendedUntil_{};
};

} // namespace goldcrestcroft

#pragma once

#include "../../Core.h"

#include <cstdint>

namespace goldcrestcroft {

/** \brief How one engine has answered this host lately.
 *
 * Consecutive failures suspend it for a while that doubles; after that one
 * request at a time tries it again. */
class EngineHealth
{
public:
  struct Options
  {
    std::uint32_t failuresToSuspend_ = 3;
    Duration firstSuspension_ = std::chrono::milliseconds{ 1000 };
    Duration longestSuspension_ = std::chrono::seconds{ 8 };
    /** Where all engines are suspended, those whose share of failures is less
     * than this are asked before a request is refused. */
    double lastResortShare_ = 0.8;
    /** Share of the newest answer in the running share of failures. */
    double newShare_ = 0.2;
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
  /** \brief An answer of failure, or a silence. */
  auto OnFailure(TimePoint aNow) -> void;
  /** \brief A connection could not be made: suspended at once. */
  auto OnUnreachable(TimePoint aNow) -> void;

  [[nodiscard]] auto IsUsable(TimePoint aNow) const -> bool
  {
    return aNow >= suspendedUntil_;
  }
  /** \brief Whether it is worth a request although it is suspended, if no
   * other engine is left: it can be reached and still serves some. */
  [[nodiscard]] auto IsLastResort() const -> bool
  {
    return !unreachable_ && failureShare_ < options_.lastResortShare_;
  }
  /** \brief Whether the next request would be its first after a
   * suspension. */
  [[nodiscard]] auto IsOnTrial() const -> bool { return suspensions_ > 0; }
  /** \brief Share of recent requests that failed. */
  [[nodiscard]] auto FailureShare() const -> double { return failureShare_; }

private:
  auto Suspend(TimePoint aNow) -> void;

  Options options_;
  std::uint32_t consecutive_ = 0;
  std::uint32_t suspensions_ = 0;
  double failureShare_ = 0.0;
  bool unreachable_ = false;
  TimePoint suspendedUntil_{};
};

} // namespace goldcrestcroft

#pragma once

#include "../../Core.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace goldcrestcroft {

/** \brief How an attempt at an engine failed. */
enum class EngineFailure
{
  /** A connection could not be established. */
  Unreachable,
  /** The engine did not respond to a request, or not completely. */
  Unanswered,
  /** The engine responded with an error or a refusal. */
  Failed
};

auto ToString(EngineFailure aFailure) -> std::string;

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
  /** \brief An attempt that began at aBegan failed. An unreachable engine is
   * suspended at once, others after several failures in a row. Attempts that
   * were in flight when a suspension began do not extend it. */
  auto OnFailure(EngineFailure aFailure, TimePoint aBegan, TimePoint aNow)
    -> void;
  /** \brief A silent engine responded to a call for its health: it is no longer
   * suspended, but on trial until OnResponseBegun. What failed before says
   * nothing about it now. */
  auto OnResponding(TimePoint aNow) -> void;
  /** \brief The engine began to respond to a request that it accepted. */
  auto OnResponseBegun() -> void;

  [[nodiscard]] auto IsUsable(TimePoint aNow) const -> bool
  {
    return aNow >= suspendedUntil_;
  }
  [[nodiscard]] auto SuspensionLeft(TimePoint aNow) const -> Duration
  {
    return std::max<Duration>(suspendedUntil_ - aNow, {});
  }
  /** \brief Whether the engine was suspended since it did not respond, and has
   * not responded since. */
  [[nodiscard]] auto IsSilent() const -> bool
  {
    return suspensions_ > 0 && lastFailure_ != EngineFailure::Failed;
  }
  /** \brief Whether the suspended engine may be tried if no other engine is
   * left: it can be reached and still serves some requests. */
  [[nodiscard]] auto IsLastResort() const -> bool
  {
    return lastFailure_ != EngineFailure::Unreachable &&
           failureShare_ < options_.lastResortShare_;
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
  EngineFailure lastFailure_ = EngineFailure::Failed;
  /** The engine was silent, and has responded to a call for its health. */
  bool returned_ = false;
  TimePoint suspendedAt_{};
  TimePoint suspendedUntil_{};
};

} // namespace goldcrestcroft

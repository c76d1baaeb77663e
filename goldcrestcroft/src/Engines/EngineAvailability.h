#pragma once

#include "../../Core.h"

#include <algorithm>
#include <utility>

namespace goldcrestcroft {

/** \brief Whether an engine accepts requests, as the engine itself advertises.
 *
 * A draining engine is sent nothing new until another incarnation of it
 * appears. An engine that requests a backoff is sent nothing for that time: no
 * requests, pieces, releases or trial requests. An engine with a rate limit
 * for all hosts together is sent the requests for which a permit was issued.
 * This is independent of its health. */
class EngineAvailability
{
public:
  struct Options
  {
    /** Longer backoffs are taken for an error of the engine and cut to this;
     * the engine is then tried again. */
    Duration maxBackoff_ = std::chrono::seconds{ 60 };
  };

  EngineAvailability()
    : EngineAvailability(Options{})
  {
  }
  explicit EngineAvailability(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Returns whether this is new. */
  auto OnLeaving() -> bool { return !std::exchange(leaving_, true); }
  /** \brief The engine requested a backoff from now on. A shorter one does not
   * end an earlier one. */
  auto OnBackoffRequested(Duration aBackoff, TimePoint aNow) -> void
  {
    backoffUntil_ =
      std::max(backoffUntil_, aNow + std::min(aBackoff, options_.maxBackoff_));
  }

  /** \brief No permit was issued; the next permit request makes sense after
   * aWait. */
  auto OnDenied(Duration aWait, TimePoint aNow) -> void
  {
    askAgainAt_ = aNow + aWait;
  }
  /** \brief The engine no longer advertises a limit. */
  auto OnLimitEnded() -> void { askAgainAt_ = {}; }

  [[nodiscard]] auto IsLeaving() const -> bool { return leaving_; }
  [[nodiscard]] auto MayReceive(TimePoint aNow) const -> bool
  {
    return !leaving_ && aNow >= backoffUntil_;
  }
  /** \brief Whether the engine is a candidate for a request that can wait for
   * aMaxWait. If the engine has a rate limit, a permit is still needed. */
  [[nodiscard]] auto IsEligible(Duration aMaxWait, TimePoint aNow) const -> bool
  {
    return MayReceive(aNow) && askAgainAt_ <= aNow + aMaxWait;
  }
  /** \brief Remaining backoff; zero for a draining engine. */
  [[nodiscard]] auto BackoffLeft(TimePoint aNow) const -> Duration
  {
    return leaving_ ? Duration{} : std::max<Duration>(backoffUntil_ - aNow, {});
  }
  /** \brief Remaining time until the backoff is over and a permit may be
   * available; zero for a draining engine. */
  [[nodiscard]] auto WaitLeft(TimePoint aNow) const -> Duration
  {
    return leaving_ ? Duration{}
                    : std::max<Duration>(askAgainAt_ - aNow, BackoffLeft(aNow));
  }

private:
  Options options_;
  bool leaving_ = false;
  TimePoint backoffUntil_{};
  TimePoint askAgainAt_{};
};

} // namespace goldcrestcroft

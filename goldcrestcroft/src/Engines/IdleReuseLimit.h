#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief Maximum idle time at which a pooled connection to a service's
 * engines is reused.
 *
 * Until a request is lost on an idle connection, all connections are reused
 * that the engine keeps open as advertised. The first loss costs each host one
 * request of a service, whereas new connections for all requests that are not
 * idempotent would cost each of them 6 ms and an engine one of the few
 * connections that it accepts. After a loss, only briefly idle connections are
 * reused, for a bounded time. Idempotent requests are the first to reuse longer
 * idle ones again, and so detect at a lower cost whether the fault is over. */
class IdleReuseLimit
{
public:
  struct Options
  {
    /** Maximum idle time after a loss, well below the shortest times for which
     * servers keep connections open. */
    Duration safeIdle_ = std::chrono::milliseconds{ 50 };
    /** Idempotent requests try longer idle connections again after this, and
     * others after twice this. It is longer than a brief fault lasts. */
    Duration hold_ = std::chrono::seconds{ 10 };
    /** The hold doubles up to this if another request is lost then. */
    Duration maxHold_ = std::chrono::seconds{ 80 };
    /** If an engine no longer has a connection, its reset arrives within this
     * time after a request was sent: a round trip between zones and a delayed
     * event loop. */
    Duration resetsWithin_ = std::chrono::milliseconds{ 250 };
  };

  IdleReuseLimit()
    : IdleReuseLimit(Options{})
  {
  }
  explicit IdleReuseLimit(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief A connection that was idle for aIdleFor was lost aAfter a request
   * was sent on it, before any byte of the response. Returns whether the loss
   * counts as one of an idle connection. */
  auto OnLost(Duration aIdleFor, Duration aAfter, TimePoint aNow) -> bool;
  /** \brief Whether a connection that was idle for aIdleFor may be reused for
   * a request. aNonIdempotent is set if a lost request could not be retried. */
  [[nodiscard]] auto Allows(Duration aIdleFor, bool aNonIdempotent,
                            TimePoint aNow) const -> bool;
  /** \brief Maximum idle time while the restriction holds. */
  [[nodiscard]] auto MaxIdle() const -> Duration { return maxIdle_; }
  /** \brief Whether everything learned from losses has expired. */
  [[nodiscard]] auto HasExpired(TimePoint aNow) const -> bool
  {
    return aNow >= holdUntil_ + options_.maxHold_;
  }

private:
  Options options_;
  Duration maxIdle_{};
  Duration hold_{};
  /** End of the restriction for idempotent requests; for others it ends hold_
   * later. */
  TimePoint holdUntil_{};
};

} // namespace goldcrestcroft

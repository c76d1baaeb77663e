#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief How long a connection to a service's engines may have rested and
 * still be used.
 *
 * Until a request is lost on a rested connection, all are used that the engine
 * keeps by its own word: the first loss costs each host one request of a
 * service, while new connections for all that runs once would cost each such
 * request 6 ms and an engine one of its few places. After a loss only those
 * are used that have rested for a moment, for a bounded time; what may be
 * repeated uses longer ones again first, and so finds out at a lower price
 * whether the trouble is over. */
class RestLimit
{
public:
  struct Options
  {
    /** Longest rest that is used after a loss, well below the shortest times
     * for which servers keep connections. */
    Duration safeRest_ = std::chrono::milliseconds{ 50 };
    /** Longer ones are tried again after this, by what may run once after
     * twice this; longer than a brief trouble lasts. */
    Duration hold_ = std::chrono::seconds{ 10 };
    /** The time doubles up to this where that fails again. */
    Duration longestHold_ = std::chrono::seconds{ 80 };
    /** An engine resets what it has forgotten within this: two ways between
     * zones and a late loop. */
    Duration resetsWithin_ = std::chrono::milliseconds{ 250 };
  };

  RestLimit()
    : RestLimit(Options{})
  {
  }
  explicit RestLimit(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief A connection that had rested for aRested broke aAfter a request was
   * sent on it, with no byte of an answer. Whether that tells anything. */
  auto OnLost(Duration aRested, Duration aAfter, TimePoint aNow) -> bool;
  /** \brief Whether one that has rested for aRested is used for a request;
   * aOnce if a loss could not be mended by a repeat. */
  [[nodiscard]] auto Allows(Duration aRested, bool aOnce, TimePoint aNow) const
    -> bool;
  /** \brief The longest rest that is used while the limit holds. */
  [[nodiscard]] auto Longest() const -> Duration { return longest_; }
  /** \brief Whether nothing is left of what was learned. */
  [[nodiscard]] auto IsOver(TimePoint aNow) const -> bool
  {
    return aNow >= until_ + options_.longestHold_;
  }

private:
  Options options_;
  Duration longest_{};
  Duration hold_{};
  /** For what may be repeated; for the rest until hold_ after that. */
  TimePoint until_{};
};

} // namespace goldcrestcroft

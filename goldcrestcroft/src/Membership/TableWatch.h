#pragma once

#include "../Core/Backoff.h"
#include "../Core/Random.h"

#include <optional>
#include <string>

namespace goldcrestcroft {

/** \brief Decides when a host itself reads a table of the store.
 *
 * In a fleet of more than a few hosts only some, the readers, wait at the
 * store for changes; the others receive changes from peers. The readers are
 * chosen by an order common to all hosts, which does not reflect whether
 * the store answers them. So each host also tracks the age of its view: the
 * time as of which the view is known to be complete, from an own read or
 * from a peer that knows no newer row. A host whose view is stale reads by
 * itself, at a time of its own, and is a substitute reader for a while if
 * the store answers. Single-threaded. */
class TableWatch
{
public:
  struct Options
  {
    /** Time within which a change has to be in force at every host. */
    Duration bound_ = std::chrono::seconds{ 3 };
    /** Fraction of the bound after which a view is stale. An update of a
     * reader takes about a second to reach hundreds of hosts; the rest of
     * the bound is left for the read of a substitute reader and the updates
     * that it sends. */
    double staleShare_ = 0.5;
    /** Hosts with stale views read within this further fraction of the
     * bound, few of them early and most of them late: the first one that
     * gets a reply notifies the others, which then need not read. */
    double spreadShare_ = 0.25;
    /** Fraction of the bound that the first reader waits for changes; each
     * further reader waits this much longer than the one ahead of it. */
    double waitShare_ = 0.2;
    /** How long a host that has read is a substitute reader, in multiples of
     * the bound. */
    int substituteBounds_ = 2;
    /** Fraction of the bound that a reply may take while the view is stale;
     * doubled with each consecutive failure. */
    double replyTimeoutShare_ = 0.25;
    /** Fraction of the bound after which a failed read is retried; doubled
     * with each consecutive failure, up to the time after which a view is
     * stale. */
    double backoffShare_ = 0.125;
  };

  enum class Role
  {
    /** Receives changes from peers. */
    Listener,
    /** Waits at the store for changes. */
    Reader,
    /** Waits at the store like a reader, since the readers delivered
     * nothing. */
    SubstituteReader
  };

  /** \brief The next action: read, and wait at the store for changes for
   * time_, or do nothing for time_. */
  struct Step
  {
    bool reads_ = false;
    Duration time_{};

    auto operator<=>(const Step&) const = default;
  };

  /** \brief Position of this host among the others. */
  struct Place
  {
    std::size_t hosts_ = 1;
    /** Number of hosts that precede it as readers. */
    std::size_t ahead_ = 0;
    /** Whether this host is one of the readers. */
    bool reads_ = true;

    auto operator<=>(const Place&) const = default;
  };

  TableWatch(Options aOptions, std::uint64_t aSeed);

  auto SetPlace(const Place& aPlace) -> void { place_ = aPlace; }
  [[nodiscard]] auto Next(TimePoint aNow) const -> Step;
  /** \brief The store replied to a read that was sent at aSentAt and was to
   * wait for aWait. Returns whether a stale view became current. */
  auto OnAnswered(TimePoint aSentAt, Duration aWait, TimePoint aNow) -> bool;
  /** \brief A read failed. */
  auto OnFailed(TimePoint aNow) -> void;
  /** \brief Whether the read in flight, sent at aSentAt, is to be abandoned:
   * the view has become too old while there was no reply. */
  [[nodiscard]] auto IsOverdue(TimePoint aSentAt, TimePoint aNow) const -> bool;
  /** \brief A peer knows no newer row than this host, as of aAsOf. Returns
   * whether a stale view became current. */
  auto OnPeerView(TimePoint aAsOf, TimePoint aNow) -> bool;
  /** \brief The history after the known rows is lost: the whole table has to
   * be read. */
  auto Forget() -> void { asOf_.reset(); }

  /** \brief Time as of which the view is known to be complete, if it is. */
  [[nodiscard]] auto AsOf() const -> std::optional<TimePoint> { return asOf_; }
  [[nodiscard]] auto IsStale(TimePoint aNow) const -> bool;
  /** \brief When this host reads by itself, unless its view is renewed
   * before. */
  [[nodiscard]] auto ReadsAt() const -> TimePoint;
  [[nodiscard]] auto RoleAt(TimePoint aNow) const -> Role;

private:
  [[nodiscard]] auto ShareOfBound(double aShare) const -> Duration;
  [[nodiscard]] auto SpreadDelay() const -> Duration;
  auto Renew(TimePoint aAsOf, TimePoint aNow) -> bool;

  Options options_;
  RandomEngine random_;
  std::optional<TimePoint> asOf_;
  Place place_;
  /** Position of this host's read within the spread, in [0, 1). */
  double spreadPosition_ = 0.0;
  TimePoint substituteUntil_;
  TimePoint backoffUntil_;
  /** Consecutive failures. */
  std::uint32_t failures_ = 0;
};

auto ToString(TableWatch::Role aRole) -> std::string;

} // namespace goldcrestcroft

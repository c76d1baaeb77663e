#pragma once

#include "EngineLimit.h"

#include <map>
#include <vector>

namespace goldcrestcroft {

/** \brief One incarnation of an engine: its id, and its start time in Unix
 * milliseconds. */
using EngineIncarnation = std::pair<std::string, std::uint64_t>;

/** \brief Table of the rate limits that engines advertised, merged from the
 * updates of all hosts, and the choice of the updates to send next.
 *
 * The last writer wins, in whatever order updates arrive. Updates are
 * piggybacked on each datagram between hosts for as long as they are kept, new
 * ones first and then in turn, so that a host that starts, resumes or was
 * partitioned receives all of them. */
class LimitTable
{
public:
  struct Options
  {
    /** An update that repeats the known value is accepted only if it was
     * stated later by more than this. The time in transit, which ages do not
     * include, adds up to less than this across a fleet, so hosts cannot make
     * each other's updates newer. */
    Duration refreshAfter_ = std::chrono::milliseconds{ 1000 };
    /** Limits are kept for this long after the last update; a limited engine
     * that is sent no requests advertises nothing. */
    Duration keepLimits_ = std::chrono::hours{ 1 };
    /** Lifted limits are kept for this long, to override older updates in
     * transit. */
    Duration keepLifted_ = std::chrono::minutes{ 1 };
    /** Beyond this size, the oldest entry is evicted. */
    std::size_t capacity_ = 16384;
  };

  LimitTable()
    : LimitTable(Options{})
  {
  }
  explicit LimitTable(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Effect of an update. */
  enum class MergeResult
  {
    /** The update is older than the entry or adds nothing new. */
    Ignored,
    /** The update confirms the known value at a later time. */
    Confirmed,
    /** The engine's limit has changed. */
    Changed
  };
  auto Merge(EngineLimit aUpdate, TimePoint aNow) -> MergeResult;
  /** \brief The latest update on this incarnation; none if it never advertised
   * a limit. */
  [[nodiscard]] auto Find(const EngineIncarnation& aIncarnation) const
    -> std::optional<EngineLimit>;
  /** \brief Returns up to aMax updates to send now and counts them as sent. */
  auto TakeUpdates(std::size_t aMax) -> std::vector<EngineLimit>;
  /** \brief Up to aMax limits in force, for a host that has just started. */
  [[nodiscard]] auto InForce(std::size_t aMax) const
    -> std::vector<EngineLimit>;
  auto Expire(TimePoint aNow) -> void;
  [[nodiscard]] auto Size() const -> std::size_t { return entries_.size(); }

private:
  struct Entry
  {
    std::optional<double> perSecond_;
    TimePoint statedAt_;
    std::uint32_t sends_ = 0;
    /** Number of the round in which the entry was last sent. */
    std::uint64_t lastSentRound_ = 0;
  };
  using Item = std::pair<const EngineIncarnation, Entry>;

  static auto ToLimit(const Item& aItem) -> EngineLimit;
  auto Evict() -> void;

  Options options_;
  std::uint64_t round_ = 0;
  std::map<EngineIncarnation, Entry> entries_;
};

} // namespace goldcrestcroft

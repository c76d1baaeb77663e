#pragma once

#include "PieceTicket.h"
#include "StageOrder.h"
#include "StagePlan.h"

#include <map>
#include <vector>

namespace goldcrestcroft {

/** \brief Queue of the pieces of all requests that wait for one stage service.
 *
 * Batches the load of many hosts with few pieces each: the cost of an engine
 * call is mostly fixed, so pieces wait here until an engine is free and are
 * then sent together. Orders that can still be on time precede those that
 * cannot. Under overload, urgent ranks precede others within a bound; apart
 * from that the earliest due time goes first. */
class StageQueue
{
public:
  struct Options
  {
    /** Each rank counts as due this much later than the one before. */
    Duration rankBonus_ = std::chrono::milliseconds{ 1500 };
    /** Under overload, one in this many calls is ordered by due times alone, so
     * that less urgent ranks keep a share of the capacity. */
    std::uint32_t dueOnlyEvery_ = 3;
    /** Pieces of another zone are taken only after this wait, as long as that
     * zone has engines. Roughly the remaining time of a call there. */
    Duration maxZoneWait_ = std::chrono::milliseconds{ 300 };
    /** Pieces of another zone are taken at once if less than this is left until
     * they would be late. */
    Duration zoneSlack_ = std::chrono::milliseconds{ 100 };
    /** An order that still waits this long after it was due is abandoned: by
     * then its inputs are about to expire, and a caller that is notified early
     * can retry. */
    Duration maxLateness_ = std::chrono::milliseconds{ 1500 };
    /** A piece of another zone counts as due this much later. */
    Duration zonePenalty_ = std::chrono::milliseconds{ 400 };
  };

  /** \brief An engine that is free for a call. */
  struct FreeEngine
  {
    std::string zone_;
    std::size_t batch_ = 1;
    double freeBytes_ = 0.0;
    /** Result memory of the engine when it holds no results. */
    double totalBytes_ = 0.0;
    /** Duration of the shortest call. */
    Duration callTime_{};
  };

  explicit StageQueue(Options aOptions)
    : options_(aOptions)
  {
  }

  auto Add(StageOrder aOrder, TimePoint aNow) -> void;
  /** \brief Announces pieces that a request will order once its earlier stages
   * are produced. They count as work ahead until Add or Cancel of the same
   * id. */
  auto Plan(std::uint64_t aOrder, StagePlan aPlan) -> void;
  /** \brief Puts a piece back into the queue; its order keeps its place. */
  auto Return(const PieceTicket& aTicket) -> void;
  /** \brief Removes an order; pieces in calls are not stopped. */
  auto Cancel(std::uint64_t aOrder) -> void;
  /** \brief Removes the waiting pieces of an order from the queue; the order
   * stays for its pieces that are in calls. */
  auto TakeWaiting(std::uint64_t aOrder) -> std::vector<std::uint32_t>;
  [[nodiscard]] auto Find(std::uint64_t aOrder) const -> const StageOrder*;

  /** \brief Takes the pieces of the engine's next call. aZones are the zones
   * that have engines. */
  auto TakeCall(const FreeEngine& aEngine,
                const std::vector<std::string>& aZones, TimePoint aNow)
    -> std::vector<PieceTicket>;
  /** \brief Removes and returns the orders with waiting pieces that are late by
   * more than maxLateness_ or whose deadline has passed. */
  auto TakeExpired(TimePoint aNow) -> std::vector<std::uint64_t>;

  /** \brief Counts the waiting and planned pieces that would precede a piece of
   * this rank and due time. */
  [[nodiscard]] auto CountBefore(int aRank, TimePoint aDueAt,
                                 TimePoint aNow) const -> std::size_t;
  [[nodiscard]] auto Waiting() const -> std::size_t { return waiting_; }
  [[nodiscard]] auto Orders() const -> std::vector<std::uint64_t>;

private:
  struct Entry
  {
    StageOrder order_;
    TimePoint addedAt_;
    std::vector<std::uint32_t> waiting_;
    /** Whether some of its pieces were taken. */
    bool begun_ = false;
  };

  auto Rank(const FreeEngine& aEngine, const std::vector<std::string>& aZones,
            TimePoint aNow) -> std::vector<Entry*>;
  [[nodiscard]] auto EffectiveDue(int aRank, TimePoint aDueAt) const
    -> TimePoint
  {
    return aDueAt + options_.rankBonus_ * aRank;
  }

  Options options_;
  std::map<std::uint64_t, Entry> entries_;
  std::map<std::uint64_t, StagePlan> plans_;
  std::size_t waiting_ = 0;
  std::uint32_t overloadedCalls_ = 0;
};

} // namespace goldcrestcroft

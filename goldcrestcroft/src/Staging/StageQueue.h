#pragma once

#include "PieceTicket.h"
#include "StageOrder.h"
#include "StagePlan.h"

#include <map>
#include <vector>

namespace goldcrestcroft {

/** \brief Pieces of all requests that wait for one stage service.
 *
 * Answers the load of many hosts with few pieces each: an engine call costs
 * mostly its fixed time, so pieces wait here until an engine is free and go
 * together. What can still be on time goes before what cannot; urgent ranks go
 * first within a bound, then what is due first. */
class StageQueue
{
public:
  struct Options
  {
    /** A rank is worth this much of being due earlier. */
    Duration rankBonus_ = std::chrono::milliseconds{ 1500 };
    /** Under overload one call in so many goes by due times alone, so that
     * less urgent ranks keep a part of what is made. */
    std::uint32_t plainCalls_ = 3;
    /** Pieces meant for another zone are taken only after this wait, while
     * that zone has engines; about the rest of a call there. */
    Duration zonePatience_ = std::chrono::milliseconds{ 300 };
    /** They are taken at once if waiting leaves less than this until they
     * would be late. */
    Duration zoneSlack_ = std::chrono::milliseconds{ 100 };
    /** An order that still waits this long after it was due is given up: by
     * then the results that it needs are about to expire, and a caller that
     * hears so early may come back. */
    Duration latePatience_ = std::chrono::milliseconds{ 1500 };
    /** A piece of another zone counts as due this much later. */
    Duration zonePenalty_ = std::chrono::milliseconds{ 400 };
  };

  /** \brief An engine that is free for a call. */
  struct FreeEngine
  {
    std::string zone_;
    std::size_t batch_ = 1;
    double freeBytes_ = 0.0;
    /** Its memory for results when it holds none. */
    double totalBytes_ = 0.0;
    /** What the shortest call takes. */
    Duration callTime_{};
  };

  explicit StageQueue(Options aOptions)
    : options_(aOptions)
  {
  }

  auto Add(StageOrder aOrder, TimePoint aNow) -> void;
  /** \brief Pieces that a request will ask for when its earlier stages are
   * made; they count as work ahead until Add or Cancel of the same id. */
  auto Plan(std::uint64_t aOrder, StagePlan aPlan) -> void;
  /** \brief Puts a piece back, in its old place. */
  auto Return(const PieceTicket& aTicket) -> void;
  /** \brief Forgets an order; pieces in calls are not stopped. */
  auto Cancel(std::uint64_t aOrder) -> void;
  /** \brief Takes what waits of an order out of the queue; the order stays for
   * its pieces that are in calls. */
  auto TakeWaiting(std::uint64_t aOrder) -> std::vector<std::uint32_t>;
  [[nodiscard]] auto Find(std::uint64_t aOrder) const -> const StageOrder*;

  /** \brief The pieces of the engine's next call. aZones are the zones with
   * engines. */
  auto TakeCall(const FreeEngine& aEngine,
                const std::vector<std::string>& aZones, TimePoint aNow)
    -> std::vector<PieceTicket>;
  /** \brief Orders that wait although they are late beyond patience, or whose
   * deadline has passed; forgotten. */
  auto TakeHopeless(TimePoint aNow) -> std::vector<std::uint64_t>;

  /** \brief Pieces that wait or are planned, and would go before one of this
   * rank and due time. */
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
    /** Some of its pieces were taken. */
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

#pragma once

#include "MetadataStore.h"
#include "PlatformCodec.h"
#include "UnreadableRows.h"

#include <functional>
#include <map>
#include <optional>

namespace goldcrestcroft {

/** \brief Stores verdicts, and the counts of suspected requests, in the
 * platform's store, so that they survive the loss of all hosts. One thread. */
class HeldRequestRows
{
public:
  struct Options
  {
    /** Returns what is known of the request; none unless it is suspected or
     * quarantined. */
    std::function<std::optional<SuspectNotice>(std::uint64_t aRequest)> known_;
    /** Returns the number of live hosts, this one included. */
    std::function<std::size_t()> hosts_;
    /** Interval at which known_ is checked, and delay between attempts of a
     * call. */
    Duration checkInterval_ = std::chrono::seconds{ 1 };
    /** Maximum number of rows of new suspicions that this host writes and
     * removes at a time, and, separately, of all other rows. What exceeds it is
     * only sent to the other hosts. */
    std::size_t maxTracked_ = 64;
    /** Number of independent crashes up to which a suspicion is new. Most new
     * suspicions are cleared within seconds, and a wave of crashes brings
     * hundreds of them; there are few suspicions with more crashes. */
    std::uint32_t maxNewCount_ = 2;
    /** Calls a second that all hosts together make for new suspicions: a tenth
     * of the 400 writes a second that the platform allows them. */
    std::size_t newCallsPerSecond_ = 40;
    /** How long a row that was read from the store counts from then on. */
    Duration holdFor_ = std::chrono::minutes{ 10 };
  };

  HeldRequestRows(asio::io_context& aContext, Options aOptions,
                  const PlatformCodec& aCodec, MetadataStore& aStore)
    : context_(aContext)
    , options_(std::move(aOptions))
    , codec_(aCodec)
    , store_(aStore)
    , wake_(aContext)
  {
  }

  /** \brief Writes the row of the request, and again as its count rises;
   * removes it once the request is neither suspected nor quarantined. */
  auto Track(const SuspectNotice& aNotice) -> void;
  /** \brief Does the same for a row that was read from the store. */
  auto TrackStored(const SuspectNotice& aNotice) -> void;
  [[nodiscard]] auto IsTracked(std::uint64_t aRequest) const -> bool
  {
    return rows_.contains(aRequest);
  }
  [[nodiscard]] auto MaxTracked() const -> std::size_t
  {
    return options_.maxTracked_;
  }
  /** \brief The store was restored from an older copy and is in this era: all
   * rows are written or removed again, each host at most one in the interval
   * between two calls for new suspicions on average. */
  auto OnStoreRestored(std::uint64_t aEra) -> void;
  /** \brief Reads the verdicts in the store; waits until the store replies. */
  auto ReadAll() -> Task<std::vector<SuspectNotice>>;

private:
  struct Row
  {
    bool isNew_ = false;
    /** What the store contains; unknown after a call without a reply. */
    std::optional<SuspectNotice> stored_;
    /** Whether the store may contain the row. */
    bool mayExist_ = false;
    /** No call is made before this time. */
    TimePoint notBefore_;
  };
  /** \brief A write or removal that brings one row of the store up to date. */
  struct Step
  {
    std::uint64_t request_ = 0;
    /** None if the row has to be removed. */
    std::optional<SuspectNotice> wanted_;
    bool isNew_ = false;
  };

  [[nodiscard]] auto IsNew(const SuspectNotice& aNotice) const -> bool;
  /** \brief Whether there is capacity to maintain the row. */
  [[nodiscard]] auto HasCapacity(const SuspectNotice& aNotice) const -> bool;
  /** \brief Interval between two calls of one host for new suspicions. */
  [[nodiscard]] auto NewWriteInterval() const -> Duration;
  /** \brief A fixed fraction of the time for each request. Spreads the calls,
   * so that hosts that have many to make at once do not all call at once. */
  [[nodiscard]] static auto SpreadOver(Duration aTime, std::uint64_t aRequest)
    -> Duration;
  /** \brief Brings the store up to date with what is known, one call at a
   * time. */
  auto Maintain() -> Task<void>;
  /** \brief Returns the most important step: verdicts, then suspicions by
   * descending count, then removals. Drops rows that need no further step. */
  auto NextStep() -> std::optional<Step>;
  auto Execute(Step aStep) -> Task<void>;
  /** \brief Writes or removes a row; returns whether the store confirmed it. */
  auto Put(std::string aKey, std::optional<std::string> aValue) -> Task<bool>;
  auto Pause() -> Task<void>;
  /** \brief The verdict in a row; none if it is unreadable. */
  auto Decode(const StoreRow& aRow) -> std::optional<SuspectNotice>;

  asio::io_context& context_;
  Options options_;
  const PlatformCodec& codec_;
  MetadataStore& store_;
  SuspendAwareClock clock_;
  /** Wakes the maintenance task. */
  asio::steady_timer wake_;
  /** Rows that this host maintains, by request. */
  std::map<std::uint64_t, Row> rows_;
  /** No call for a new suspicion is made before this time. */
  TimePoint nextNewWriteAt_;
  bool maintaining_ = false;
  UnreadableRows unreadable_{ { .event_ = "held_request_unreadable" } };
  /** The latest known era of the store. */
  std::uint64_t era_ = 0;
};

} // namespace goldcrestcroft

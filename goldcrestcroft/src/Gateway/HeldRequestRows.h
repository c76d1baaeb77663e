#pragma once

#include "MetadataStore.h"
#include "PlatformCodec.h"

#include <functional>
#include <map>
#include <optional>

namespace goldcrestcroft {

/** \brief Keeps verdicts, and the counts of suspected requests, in the
 * platform's store, so that they outlive the loss of all hosts. One thread. */
class HeldRequestRows
{
public:
  struct Options
  {
    /** What is known of the request; none unless it is suspected or held
     * back. */
    std::function<std::optional<SuspectNotice>(std::uint64_t aRequest)> known_;
    /** Live hosts, this one included. */
    std::function<std::size_t()> hosts_;
    /** How often that is looked at, and pause between tries of a call. */
    Duration lookEvery_ = std::chrono::seconds{ 1 };
    /** Rows of new suspicions that this host writes and removes at a time, and
     * as many of all others; what is beyond is told to the other hosts only. */
    std::size_t mostKept_ = 64;
    /** Coincidences of a new suspicion. Most are cleared within seconds, and a
     * wave of ends brings hundreds; of more coincidences there are few. */
    std::uint32_t newCount_ = 2;
    /** Calls a second that all hosts together make for new suspicions: a tenth
     * of the 400 writes a second that the platform allows them. */
    std::size_t newCallsPerSecond_ = 40;
    /** What was read counts for this long again. */
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

  /** \brief Writes the row of the request, and again as more is counted;
   * removes it once the request is neither suspected nor held back. */
  auto Keep(const SuspectNotice& aNotice) -> void;
  /** \brief The same of a row that was read. */
  auto KeepRead(const SuspectNotice& aNotice) -> void;
  [[nodiscard]] auto IsKept(std::uint64_t aRequest) const -> bool
  {
    return rows_.contains(aRequest);
  }
  [[nodiscard]] auto MostKept() const -> std::size_t
  {
    return options_.mostKept_;
  }
  /** \brief The verdicts in the store; waits until it answers. */
  auto ReadAll() -> Task<std::vector<SuspectNotice>>;

private:
  struct Row
  {
    bool isNew_ = false;
    /** What the store has; unknown after a call without an answer. */
    std::optional<SuspectNotice> stored_;
    /** Whether the store may have a row. */
    bool mayBeThere_ = false;
    /** No call before this. */
    TimePoint tryAt_;
  };
  /** \brief What the store lacks of one row. */
  struct Step
  {
    std::uint64_t request_ = 0;
    /** None if the row is to be removed. */
    std::optional<SuspectNotice> wanted_;
    bool isNew_ = false;
  };

  [[nodiscard]] auto IsNew(const SuspectNotice& aNotice) const -> bool;
  /** \brief Whether there is room to look after the row. */
  [[nodiscard]] auto HasRoom(const SuspectNotice& aNotice) const -> bool;
  /** \brief Between two calls of one host for new suspicions. */
  [[nodiscard]] auto NewPause() const -> Duration;
  /** \brief Brings the store in line with what is known, one call at a time. */
  auto Maintain() -> Task<void>;
  /** \brief The step that matters most now: verdicts, then suspicions in order
   * of their counts, then removals. Drops rows that need no more. */
  auto NextStep() -> std::optional<Step>;
  auto Do(Step aStep) -> Task<void>;
  /** \brief Whether the store did it. */
  auto Put(std::string aKey, std::optional<std::string> aValue) -> Task<bool>;
  auto Pause() -> Task<void>;

  asio::io_context& context_;
  Options options_;
  const PlatformCodec& codec_;
  MetadataStore& store_;
  SuspendAwareClock clock_;
  /** Ends the pause of the maintenance. */
  asio::steady_timer wake_;
  /** Rows that this host looks after, by request. */
  std::map<std::uint64_t, Row> rows_;
  /** No call for a new suspicion before this. */
  TimePoint nextNew_;
  bool maintaining_ = false;
};

} // namespace goldcrestcroft

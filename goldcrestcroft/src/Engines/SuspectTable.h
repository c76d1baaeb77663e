#pragma once

#include "CompletedRuns.h"
#include "SuspectKind.h"
#include "SuspectNotice.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace goldcrestcroft {

/** \brief Table of the suspected requests known to this host. It also selects
 * the notices to send next.
 *
 * The result of merging notices does not depend on their order. Until they
 * expire, notices are piggybacked on the datagrams between hosts, new ones
 * first, then in turn. A host that starts, resumes or was partitioned thus
 * receives all of them in time, and those of quarantined requests first. */
class SuspectTable
{
public:
  struct Options
  {
    /** Maximum number of requests. Beyond it the request with the lowest level
     * is evicted for each new one, and among these the one that expires
     * first. */
    std::size_t capacity_ = 4096;
    /** Upper bound for the remaining time of a merged notice. */
    Duration maxLeft_ = std::chrono::hours{ 1 };
    /** As long as lost runs count against a part of a prompt. */
    Duration proofRetention_ = std::chrono::minutes{ 10 };
  };

  SuspectTable()
    : SuspectTable(Options{})
  {
  }
  explicit SuspectTable(Options aOptions)
    : options_(aOptions)
    , proven_({ .retention_ = aOptions.proofRetention_ })
  {
  }

  /** \brief Merges a notice. Returns whether the table changed, in which case
   * the notice has to be passed on. */
  auto Merge(const SuspectNotice& aNotice, TimePoint aNow) -> bool;
  [[nodiscard]] auto LevelOf(std::uint64_t aRequest, TimePoint aNow) const
    -> SuspectLevel;
  /** \brief The notice that clears the request after a copy of it ran to
   * completion; none if the request is not suspected. */
  [[nodiscard]] auto ClearingNotice(std::uint64_t aRequest,
                                    TimePoint aNow) const
    -> std::optional<SuspectNotice>;
  /** \brief Call when a copy ran to completion on this host. Returns the notice
   * that clears the request; none if it is not suspected. */
  auto OnCompleted(std::uint64_t aRequest, TimePoint aNow)
    -> std::optional<SuspectNotice>;
  /** \brief Call after a notice about the request was merged. Returns a notice
   * that clears the request if a copy ran to completion on this host since the
   * last clearing. That notice has to be merged, and passed on instead. */
  [[nodiscard]] auto ClearingIfCompleted(std::uint64_t aRequest,
                                         TimePoint aNow) const
    -> std::optional<SuspectNotice>;
  /** \brief The notice of the request; none unless it is suspected or
   * quarantined. */
  [[nodiscard]] auto Find(std::uint64_t aRequest, TimePoint aNow) const
    -> std::optional<SuspectNotice>;
  /** \brief Notices of up to aMax requests of the level, those with the highest
   * counts. */
  [[nodiscard]] auto AtLevel(SuspectLevel aLevel, std::size_t aMax,
                             TimePoint aNow) const
    -> std::vector<SuspectNotice>;
  /** \brief Up to aMax notices to send now; counts them as sent. */
  auto TakeNotices(std::size_t aMax, TimePoint aNow)
    -> std::vector<SuspectNotice>;
  auto Expire(TimePoint aNow) -> void;
  [[nodiscard]] auto Size() const -> std::size_t { return entries_.size(); }

private:
  struct Entry
  {
    std::uint32_t generation_ = 0;
    SuspectLevel level_ = SuspectLevel::Cleared;
    std::uint32_t count_ = 0;
    TimePoint until_;
    /** Only copies that completed later clear the request. */
    TimePoint since_{};
    std::uint32_t sendCount_ = 0;
    /** Number of the round in which the notice was last sent. */
    std::uint64_t lastSentRound_ = 0;
  };
  using Item = std::pair<const std::uint64_t, Entry>;

  [[nodiscard]] auto CompletedOf(std::uint64_t aRequest) const
    -> const CompletedRuns&
  {
    return KindOf(aRequest) == SuspectKind::PromptPart ? proven_ : completed_;
  }
  static auto NoticeOf(const Item& aItem, TimePoint aNow) -> SuspectNotice;

  auto Evict() -> void;

  Options options_;
  CompletedRuns completed_;
  /** Parts of prompts whose requests ran without crashing their engine. */
  CompletedRuns proven_;
  std::uint64_t round_ = 0;
  std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace goldcrestcroft

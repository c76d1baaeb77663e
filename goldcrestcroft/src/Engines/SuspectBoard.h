#pragma once

#include "CompletedRuns.h"
#include "SuspectNotice.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace goldcrestcroft {

/** \brief What this host knows of suspected requests, and what it tells next.
 *
 * Notices are merged in any order to the same result. They go with each
 * datagram between hosts until they expire, new ones first, then in turn: a
 * host that starts, wakes or was cut off learns all of them in time, and those
 * of requests that are held back before the others. */
class SuspectBoard
{
public:
  struct Options
  {
    /** Requests known; beyond, the one of the lowest level, and of these the
     * one to be forgotten first, makes room for each new one. */
    std::size_t capacity_ = 4096;
    /** Longest time that a notice from elsewhere may have left. */
    Duration longestLeft_ = std::chrono::hours{ 1 };
  };

  SuspectBoard()
    : SuspectBoard(Options{})
  {
  }
  explicit SuspectBoard(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Whether it changes what is known, so that it is passed on. */
  auto Merge(const SuspectNotice& aNotice, TimePoint aNow) -> bool;
  [[nodiscard]] auto LevelOf(std::uint64_t aRequest, TimePoint aNow) const
    -> SuspectLevel;
  /** \brief The notice that clears the request after a copy of it ran to its
   * end; none if it is not suspected. */
  [[nodiscard]] auto Clearing(std::uint64_t aRequest, TimePoint aNow) const
    -> std::optional<SuspectNotice>;
  /** \brief A copy ran to its end here. Returns the notice that clears it; none
   * if it is not suspected. */
  auto OnCompleted(std::uint64_t aRequest, TimePoint aNow)
    -> std::optional<SuspectNotice>;
  /** \brief The notice that clears a request after a notice about it was
   * merged, if a copy ran to its end here since it was cleared last. To be
   * merged and passed on instead. */
  [[nodiscard]] auto Recall(std::uint64_t aRequest, TimePoint aNow) const
    -> std::optional<SuspectNotice>;
  /** \brief What is known of the request; none unless it is suspected or held
   * back. */
  [[nodiscard]] auto Find(std::uint64_t aRequest, TimePoint aNow) const
    -> std::optional<SuspectNotice>;
  /** \brief Notices of up to aMost requests of the level, those of the highest
   * count. */
  [[nodiscard]] auto AtLevel(SuspectLevel aLevel, std::size_t aMost,
                             TimePoint aNow) const
    -> std::vector<SuspectNotice>;
  /** \brief Up to aMost notices to tell now. */
  auto Tell(std::size_t aMost, TimePoint aNow) -> std::vector<SuspectNotice>;
  auto Expire(TimePoint aNow) -> void;
  [[nodiscard]] auto Size() const -> std::size_t { return entries_.size(); }

private:
  struct Entry
  {
    std::uint32_t generation_ = 0;
    SuspectLevel level_ = SuspectLevel::Cleared;
    std::uint32_t count_ = 0;
    TimePoint until_;
    /** When the generation became known here. */
    TimePoint since_{};
    std::uint32_t told_ = 0;
    /** Number of the round in which it was told last. */
    std::uint64_t lastTold_ = 0;
  };
  using Item = std::pair<const std::uint64_t, Entry>;

  static auto NoticeOf(const Item& aItem, TimePoint aNow) -> SuspectNotice;

  auto MakeRoom() -> void;

  Options options_;
  CompletedRuns completed_;
  std::uint64_t round_ = 0;
  std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace goldcrestcroft

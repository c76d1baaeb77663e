#pragma once

#include "LostRun.h"
#include "SuspectNotice.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace goldcrestcroft {

/** \brief Runs that count as evidence against a request: the most of them of
 * which each began after the one before it had ended. Engines that end
 * together end all that they run, so runs that overlap in time are one
 * coincidence, whatever their number. */
auto CountCoincidences(std::vector<LostRun> aRuns) -> std::size_t;

/** \brief Counts lost runs by request, for the requests whose keeper this host
 * is and for its own. */
class SuspectCounter
{
public:
  struct Options
  {
    /** Coincidences after which hosts report whether copies of it complete. */
    std::size_t suspectAt_ = 2;
    /** Coincidences after which no copy is sent to an engine, if so many runs
     * were lost in them; with fewer runs, one coincidence more. A rare request
     * that its host and its caller each repeat once is lost four times at
     * most. */
    std::size_t holdAt_ = 3;
    std::size_t holdRuns_ = 5;
    /** Time from the notice of the suspicion to that of the holding back, in
     * which hosts report copies that complete: 1,000 ms is twice what a notice
     * takes to 300 hosts, and leaves 2,000 ms of the least `contact_ms`. */
    Duration hearFor_ = std::chrono::milliseconds{ 1000 };
    /** Lost runs count for this long. */
    Duration rememberFor_ = std::chrono::minutes{ 10 };
    /** How long a verdict is in force. One more lost run renews it, for as long
     * again after its end. */
    Duration holdFor_ = std::chrono::minutes{ 10 };
    /** Requests remembered; beyond, the one with the least evidence, and of
     * these the oldest, is forgotten for each new one. */
    std::size_t capacity_ = 8192;
    /** Runs remembered of one request. */
    std::size_t runsEach_ = 16;
  };

  SuspectCounter()
    : SuspectCounter(Options{})
  {
  }
  explicit SuspectCounter(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief A run was lost; told any number of times. Returns the notice to
   * spread if the level of the request rises by it. */
  auto OnLost(const LostRun& aRun, TimePoint aNow)
    -> std::optional<SuspectNotice>;
  /** \brief The notices of requests to be held back from now on, since nothing
   * has cleared them in time; to be called every 100 ms or so. */
  auto Due(TimePoint aNow) -> std::vector<SuspectNotice>;
  /** \brief The notices of suspected requests of which more is counted than all
   * were told, for those who count on; to be called as often. */
  auto Recounted(TimePoint aNow) -> std::vector<SuspectNotice>;
  /** \brief What others were told. A higher generation voids the runs counted
   * before it. */
  auto OnNotice(const SuspectNotice& aNotice, TimePoint aNow) -> void;
  /** \brief Forgets what has expired; to be called now and then. */
  auto Expire(TimePoint aNow) -> void;
  [[nodiscard]] auto Size() const -> std::size_t { return entries_.size(); }
  /** \brief Coincidences counted against the request. */
  [[nodiscard]] auto CountOf(std::uint64_t aRequest) const -> std::size_t;

private:
  struct Entry
  {
    std::uint32_t generation_ = 0;
    SuspectLevel level_ = SuspectLevel::Cleared;
    std::vector<LostRun> runs_;
    /** Of runs_, counted. */
    std::size_t count_ = 0;
    /** Coincidences that others counted before toldAt_. */
    std::size_t told_ = 0;
    TimePoint toldAt_;
    /** Coincidences that all were told of. */
    std::size_t announced_ = 0;
    /** Runs that began before this are void. */
    TimePoint clearedAt_;
    TimePoint suspectedAt_;
    /** End of the verdict. */
    TimePoint until_;
    /** When it was last heard of. */
    TimePoint heardAt_;
  };

  /** \brief Own count, or that of others with what began since. */
  [[nodiscard]] static auto Count(const Entry& aEntry) -> std::size_t;
  [[nodiscard]] auto IsEnough(const Entry& aEntry) const -> bool;
  /** \brief The notice of what is counted. */
  static auto Announce(std::uint64_t aRequest, Entry& aEntry, TimePoint aNow)
    -> SuspectNotice;
  auto Raise(std::uint64_t aRequest, Entry& aEntry, SuspectLevel aLevel,
             TimePoint aNow) const -> SuspectNotice;
  auto EntryOf(std::uint64_t aRequest, TimePoint aNow) -> Entry&;
  auto MakeRoom() -> void;
  [[nodiscard]] auto IsNeeded(const Entry& aEntry, TimePoint aNow) const
    -> bool;

  Options options_;
  std::unordered_map<std::uint64_t, Entry> entries_;
  /** Requests with evidence enough that may still be cleared. */
  std::vector<std::uint64_t> heard_;
  /** Suspected requests of which more is counted than all were told. */
  std::set<std::uint64_t> recounted_;
};

} // namespace goldcrestcroft

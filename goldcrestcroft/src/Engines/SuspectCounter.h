#pragma once

#include "LostRun.h"
#include "SuspectKind.h"
#include "SuspectNotice.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace goldcrestcroft {

/** \brief The number of independent crashes among the lost runs of a request,
 * which is the evidence against it: the size of the largest set of runs that do
 * not overlap in time. Engines that crash together lose all that they run, so
 * any number of overlapping runs counts as one crash. */
auto CountIndependentCrashes(std::vector<LostRun> aRuns) -> std::size_t;

/** \brief The number of crashes of engines among the lost runs of a part of a
 * prompt, where those that follow each other within aSpacing count as one.
 *
 * Requests with the part run on several engines at the same time, so that runs
 * overlap although each of them crashes its engine. */
auto CountSpacedCrashes(std::vector<LostRun> aRuns, Duration aSpacing)
  -> std::size_t;

/** \brief Counts lost runs by suspect, for the suspects that this host owns and
 * for its own runs. Raises the level of a suspect as evidence accumulates.
 *
 * Suspects are requests and parts of prompts; "request" stands for both where
 * the kind makes no difference. */
class SuspectCounter
{
public:
  struct Options
  {
    /** Independent crashes after which the request is suspected, so that hosts
     * report whether copies of it complete. */
    std::size_t suspectThreshold_ = 2;
    /** Independent crashes after which the request is quarantined, if at least
     * quarantineRuns_ runs were lost in them; with fewer runs, one crash more
     * is needed. A rare request that its host and its caller each retry once is
     * lost at most four times. */
    std::size_t quarantineThreshold_ = 3;
    std::size_t quarantineRuns_ = 5;
    /** Crashes after which a part of a prompt is quarantined, if the engine had
     * begun to respond to all but one of the runs. Other requests of the engine
     * are seldom lost at that moment. */
    std::size_t partThreshold_ = 3;
    /** The same if engines had not begun to respond. */
    std::size_t silentPartThreshold_ = 4;
    /** Time between two crashes that count as two for a part of a prompt. It
     * exceeds the time within which hosts notice a crash, and that between the
     * engines of a rack that fails. */
    Duration crashSpacing_ = std::chrono::milliseconds{ 250 };
    /** How long a part of a prompt waits for the verdict on the last part
     * (LostRun::lastPart_) that explains the same crashes. */
    Duration explanationWindow_ = std::chrono::milliseconds{ 2000 };
    /** Minimum time between the notice that a request is suspected and the one
     * that it is quarantined, in which hosts report copies that complete.
     * 1,000 ms is twice what a notice takes to reach 300 hosts, and leaves
     * 2,000 ms of the minimum `contact_ms`. */
    Duration clearingWindow_ = std::chrono::milliseconds{ 1000 };
    /** How long a lost run counts. */
    Duration retention_ = std::chrono::minutes{ 10 };
    /** How long a level is in force. For the same time after a quarantine
     * expired, one more lost run renews it. */
    Duration levelLifetime_ = std::chrono::minutes{ 10 };
    /** Maximum number of requests. Beyond it the request with the least
     * evidence is evicted for each new one, and among these the least recently
     * updated one. */
    std::size_t capacity_ = 8192;
    /** Maximum number of runs kept for one request. */
    std::size_t runsPerRequest_ = 16;
  };

  SuspectCounter()
    : SuspectCounter(Options{})
  {
  }
  explicit SuspectCounter(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Call when a run was lost, any number of times for the same run,
   * which counts once. Returns the notice to disseminate if the level of the
   * request rises. */
  auto OnLost(const LostRun& aRun, TimePoint aNow)
    -> std::optional<SuspectNotice>;
  /** \brief The notices of requests that are quarantined from now on, since
   * nothing has cleared them in time, and of parts that are cleared since
   * another part accounts for their crashes. Call about every 100 ms. */
  auto Due(TimePoint aNow) -> std::vector<SuspectNotice>;
  /** \brief The notices of suspected requests whose count has risen since it
   * was last announced, so that other hosts can continue from it. Call as often
   * as Due(). */
  auto TakeIncreasedCounts(TimePoint aNow) -> std::vector<SuspectNotice>;
  /** \brief Takes a notice from the gossip between hosts. A higher generation
   * invalidates the runs counted before it. */
  auto OnNotice(const SuspectNotice& aNotice, TimePoint aNow) -> void;
  /** \brief Removes expired entries; call regularly. */
  auto Expire(TimePoint aNow) -> void;
  [[nodiscard]] auto Size() const -> std::size_t { return entries_.size(); }
  /** \brief Independent crashes counted here for the request. */
  [[nodiscard]] auto CountOf(std::uint64_t aRequest) const -> std::size_t;

private:
  struct Entry
  {
    std::uint32_t generation_ = 0;
    SuspectLevel level_ = SuspectLevel::Cleared;
    std::vector<LostRun> runs_;
    /** Independent crashes in runs_. */
    std::size_t count_ = 0;
    /** Independent crashes that other hosts counted before reportedAt_. */
    std::size_t reportedCount_ = 0;
    TimePoint reportedAt_;
    /** Independent crashes in the latest notice to all hosts. */
    std::size_t announcedCount_ = 0;
    /** Runs that began before this time do not count. */
    TimePoint clearedAt_;
    TimePoint suspectedAt_;
    /** When the evidence first sufficed for a quarantine. */
    std::optional<TimePoint> sufficientAt_;
    /** When the level expires. */
    TimePoint until_;
    /** When a run of the request was last reported lost or a notice about the
     * request was last received. */
    TimePoint lastUpdateAt_;
  };

  /** \brief The count of this host, or, if higher, that of other hosts plus the
   * runs here that began since. */
  [[nodiscard]] auto Count(std::uint64_t aRequest, const Entry& aEntry) const
    -> std::size_t;
  /** \brief The runs that count as separate crashes. */
  [[nodiscard]] auto CountedRuns(std::uint64_t aRequest,
                                 std::vector<LostRun>& aRuns) const
    -> std::vector<LostRun>;
  [[nodiscard]] auto HasEnoughEvidence(std::uint64_t aRequest,
                                       const Entry& aEntry,
                                       TimePoint aNow) const -> bool;
  /** \brief Whether these runs suffice to quarantine a part of a prompt. */
  [[nodiscard]] auto IsSufficient(std::vector<LostRun> aRuns) const -> bool;
  /** \brief The runs whose last part is not quarantined, which would account
   * for them. */
  [[nodiscard]] auto UnexplainedRuns(const Entry& aEntry, TimePoint aNow) const
    -> std::vector<LostRun>;
  /** \brief The notice that clears a part whose runs are explained, so that no
   * host continues from their count; none if it has no such runs. */
  [[nodiscard]] auto ClearExplained(std::uint64_t aRequest, const Entry& aEntry,
                                    TimePoint aNow) const
    -> std::optional<SuspectNotice>;
  /** \brief Whether the quarantine of the last part of several runs would leave
   * too little evidence. */
  [[nodiscard]] auto MayBeExplained(const Entry& aEntry) const -> bool;
  /** \brief When an entry with enough evidence is quarantined if nothing clears
   * or explains it. */
  [[nodiscard]] auto QuarantineTime(const Entry& aEntry) const -> TimePoint;
  /** \brief The notice of the current level and count; records the count as
   * announced. */
  auto Announce(std::uint64_t aRequest, Entry& aEntry, TimePoint aNow) const
    -> SuspectNotice;
  /** \brief Sets the level and its expiry, and returns the notice of it. */
  auto Raise(std::uint64_t aRequest, Entry& aEntry, SuspectLevel aLevel,
             TimePoint aNow) const -> SuspectNotice;
  auto FindOrAddEntry(std::uint64_t aRequest, TimePoint aNow) -> Entry&;
  auto Evict() -> void;
  [[nodiscard]] auto IsNeeded(const Entry& aEntry, TimePoint aNow) const
    -> bool;

  Options options_;
  std::unordered_map<std::uint64_t, Entry> entries_;
  /** Requests with sufficient evidence that may still be cleared. */
  std::vector<std::uint64_t> awaitingClearing_;
  /** Suspected requests whose count has risen since it was announced. */
  std::set<std::uint64_t> increasedCounts_;
};

} // namespace goldcrestcroft

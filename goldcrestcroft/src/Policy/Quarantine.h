#pragma once

#include "../../Core.h"

#include <unordered_map>
#include <vector>

namespace goldcrestcroft {

/** \brief How requests with a given fingerprint may run. */
enum class Verdict
{
  Free,
  /** In flight on a server that crashed: may run only alone on a server, one
   * request at a time. */
  Suspect,
  /** Crashed a server that ran nothing else: may not run. */
  Quarantined
};

/** \brief An update on one fingerprint, passed between hosts.
 *
 * The more severe of two verdicts wins, except that Free clears a suspect. */
struct QuarantineUpdate
{
  std::uint64_t fingerprint_ = 0;
  Verdict verdict_ = Verdict::Free;

  auto operator<=>(const QuarantineUpdate&) const = default;
};

/** \brief Identifies poison requests, which crash the servers that run them.
 *
 * A fingerprint in flight on a server that crashes becomes a suspect. Suspects
 * run alone, so that a second crash has exactly one possible cause. The other
 * requests that were on the first server are cleared when they complete. */
class Quarantine
{
public:
  struct Options
  {
    Duration suspectFor_ = std::chrono::minutes{ 10 };
    Duration quarantineFor_ = std::chrono::hours{ 24 };
    /** Maximum number of fingerprints; the earliest to expire is evicted. */
    std::size_t capacity_ = 4096;
  };

  explicit Quarantine(Options aOptions)
    : options_(aOptions)
  {
  }

  [[nodiscard]] auto Judge(std::uint64_t aFingerprint, TimePoint aNow) const
    -> Verdict;

  /** \brief A server crashed with these fingerprints in flight. aAlone: there
   * was exactly one, and it ran alone on the server. Returns the updates for
   * the peers. */
  auto OnCrash(const std::vector<std::uint64_t>& aInFlight, bool aAlone,
               TimePoint aNow) -> std::vector<QuarantineUpdate>;
  /** \brief A suspect completed while it ran alone. Returns the updates for the
   * peers. */
  auto OnCleared(std::uint64_t aFingerprint) -> std::vector<QuarantineUpdate>;
  /** \brief Applies a peer's update. Returns whether it changed anything. */
  auto OnUpdate(const QuarantineUpdate& aUpdate, TimePoint aNow) -> bool;

  /** \brief At most aMax unexpired entries, the most severe verdict first. */
  [[nodiscard]] auto Export(std::size_t aMax, TimePoint aNow) const
    -> std::vector<QuarantineUpdate>;
  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }

private:
  struct Entry
  {
    Verdict verdict_ = Verdict::Free;
    TimePoint until_;
  };

  auto Escalate(std::uint64_t aFingerprint, Verdict aVerdict, TimePoint aNow)
    -> bool;
  auto Evict(TimePoint aNow) -> void;

  Options options_;
  std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace goldcrestcroft

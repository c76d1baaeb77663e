#pragma once

#include "../../Core.h"

#include <unordered_map>
#include <vector>

namespace goldcrestcroft {

/** \brief How a request with some fingerprint may run. */
enum class Verdict
{
  Free,
  /** It was on a server that crashed: alone on a server, one at a time. */
  Suspect,
  /** It crashed a server that ran nothing else: never again. */
  Quarantined
};

/** \brief What is known of one fingerprint; the stronger verdict wins. */
struct PoisonNews
{
  std::uint64_t fingerprint_ = 0;
  Verdict verdict_ = Verdict::Free;

  auto operator<=>(const PoisonNews&) const = default;
};

/** \brief Finds requests that crash the servers that run them.
 *
 * A fingerprint that was in flight on a server that crashed becomes a suspect.
 * Suspects run alone, so a second crash has exactly one possible culprit, and
 * neighbours of the first clear themselves by completing. */
class Quarantine
{
public:
  struct Options
  {
    Duration suspectFor_ = std::chrono::minutes{ 10 };
    Duration quarantineFor_ = std::chrono::hours{ 24 };
    /** Fingerprints remembered; the earliest to lapse go first. */
    std::size_t capacity_ = 4096;
  };

  explicit Quarantine(Options aOptions)
    : options_(aOptions)
  {
  }

  [[nodiscard]] auto Judge(std::uint64_t aFingerprint, TimePoint aNow) const
    -> Verdict;

  /** \brief A server crashed with these in flight. With aAlone, the single one
   * ran there alone. Returns what to tell the peers. */
  auto OnCrash(const std::vector<std::uint64_t>& aInFlight, bool aAlone,
               TimePoint aNow) -> std::vector<PoisonNews>;
  /** \brief A suspect completed alone: it is innocent. */
  auto OnCleared(std::uint64_t aFingerprint) -> std::vector<PoisonNews>;
  /** \brief A peer's news. Returns whether it was new here. */
  auto OnNews(const PoisonNews& aNews, TimePoint aNow) -> bool;

  /** \brief All that is held against anybody, strongest first. */
  [[nodiscard]] auto Export(std::size_t aMost, TimePoint aNow) const
    -> std::vector<PoisonNews>;
  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }

private:
  struct Entry
  {
    Verdict verdict_ = Verdict::Free;
    TimePoint until_;
  };

  auto Raise(std::uint64_t aFingerprint, Verdict aVerdict, TimePoint aNow)
    -> bool;
  auto MakeRoom(TimePoint aNow) -> void;

  Options options_;
  std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace goldcrestcroft

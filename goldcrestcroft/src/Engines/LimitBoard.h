#pragma once

#include "EngineLimit.h"

#include <map>
#include <vector>

namespace goldcrestcroft {

/** \brief A start of an engine: its id, and the Unix milliseconds of its
 * start. */
using EngineStart = std::pair<std::string, std::uint64_t>;

/** \brief What this host knows of the limits that engines named, and what it
 * tells next.
 *
 * The word that was said last holds, in whatever order words come. Words go
 * with each datagram between hosts for as long as they are known, new ones
 * first, then in turn, so that a host that starts, wakes or was cut off learns
 * all of them. */
class LimitBoard
{
public:
  struct Options
  {
    /** A word that says the same as the one known is taken only if it was said
     * so much later: ages grow by less than that on the way through a fleet,
     * so no host makes another's word younger. */
    Duration refreshAfter_ = std::chrono::milliseconds{ 1000 };
    /** Limits are remembered for so long after the last word on them; an engine
     * in need that is asked for nothing says nothing. */
    Duration keepLimits_ = std::chrono::hours{ 1 };
    /** The end of a limit, against older words that are on their way. */
    Duration keepEnds_ = std::chrono::minutes{ 1 };
    /** Beyond, the oldest word makes room. */
    std::size_t capacity_ = 16384;
  };

  LimitBoard()
    : LimitBoard(Options{})
  {
  }
  explicit LimitBoard(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief What a word did. */
  enum class Merged
  {
    /** An older one, or one that says nothing new. */
    Ignored,
    /** The same as before, said again. */
    Confirmed,
    /** The engine takes another number of requests now. */
    Changed
  };
  auto Merge(EngineLimit aWord, TimePoint aNow) -> Merged;
  /** \brief The last word on this start; none if it never named a limit. */
  [[nodiscard]] auto Find(const EngineStart& aStart) const
    -> std::optional<EngineLimit>;
  /** \brief Up to aMost words to tell now. */
  auto Tell(std::size_t aMost) -> std::vector<EngineLimit>;
  /** \brief Up to aMost limits in force, for a host that has just started. */
  [[nodiscard]] auto InForce(std::size_t aMost) const
    -> std::vector<EngineLimit>;
  auto Expire(TimePoint aNow) -> void;
  [[nodiscard]] auto Size() const -> std::size_t { return entries_.size(); }

private:
  struct Entry
  {
    std::optional<double> perSecond_;
    TimePoint statedAt_;
    std::uint32_t told_ = 0;
    /** Number of the round in which it was told last. */
    std::uint64_t lastTold_ = 0;
  };
  using Item = std::pair<const EngineStart, Entry>;

  static auto ToWord(const Item& aItem) -> EngineLimit;
  auto MakeRoom() -> void;

  Options options_;
  std::uint64_t round_ = 0;
  std::map<EngineStart, Entry> entries_;
};

} // namespace goldcrestcroft

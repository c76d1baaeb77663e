#pragma once

#include "Quarantine.h"

#include <map>

namespace goldcrestcroft {

/** \brief Says each piece of news several times, since datagrams get lost. */
class NewsSpread
{
public:
  struct Options
  {
    /** How often each piece is said. */
    unsigned repeats_ = 4;
    std::size_t capacity_ = 4096;
  };

  explicit NewsSpread(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Newer news of a fingerprint replaces older; beyond the capacity it
   * is dropped. */
  auto Add(const PoisonNews& aNews) -> void
  {
    if (entries_.contains(aNews.fingerprint_) ||
        entries_.size() < options_.capacity_) {
      entries_[aNews.fingerprint_] = { .news_ = aNews,
                                       .left_ = options_.repeats_ };
    }
  }

  /** \brief What to say next, at most aMost pieces, the least said first. */
  auto Take(std::size_t aMost) -> std::vector<PoisonNews>;

  /** \brief Whether there is news that was never said. */
  [[nodiscard]] auto HasFresh() const -> bool;

private:
  struct Entry
  {
    PoisonNews news_;
    unsigned left_ = 0;
  };

  Options options_;
  std::map<std::uint64_t, Entry> entries_;
};

} // namespace goldcrestcroft

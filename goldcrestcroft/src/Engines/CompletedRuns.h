#pragma once

#include "../../Core.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace goldcrestcroft {

/** \brief Requests of which a copy ran to its end at this host not long ago. */
class CompletedRuns
{
public:
  struct Options
  {
    Duration rememberFor_ = std::chrono::minutes{ 2 };
    /** Requests remembered; the one that ended longest ago makes room. */
    std::size_t capacity_ = 16'384;
  };

  CompletedRuns()
    : CompletedRuns(Options{})
  {
  }
  explicit CompletedRuns(Options aOptions)
    : options_(aOptions)
  {
  }

  auto Add(std::uint64_t aRequest, TimePoint aNow) -> void;
  /** \brief Whether a copy ended later than aSince. */
  [[nodiscard]] auto IsKnownSince(std::uint64_t aRequest, TimePoint aSince,
                                  TimePoint aNow) const -> bool;
  [[nodiscard]] auto Size() const -> std::size_t { return index_.size(); }

private:
  struct Entry
  {
    std::uint64_t request_ = 0;
    TimePoint endedAt_;
  };

  Options options_;
  /** The latest is the last. */
  std::list<Entry> entries_;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> index_;
};

} // namespace goldcrestcroft

#pragma once

#include "../../Core.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace goldcrestcroft {

/** \brief Requests of which a copy recently ran to completion on this host. */
class CompletedRuns
{
public:
  struct Options
  {
    Duration retention_ = std::chrono::minutes{ 2 };
    /** Maximum number of requests kept. When it is reached, the request that
     * completed least recently is evicted. */
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
  /** \brief Whether a copy completed later than aSince and within the
   * retention period. */
  [[nodiscard]] auto HasCompletedSince(std::uint64_t aRequest, TimePoint aSince,
                                       TimePoint aNow) const -> bool;
  [[nodiscard]] auto Size() const -> std::size_t { return index_.size(); }

private:
  struct Entry
  {
    std::uint64_t request_ = 0;
    TimePoint completedAt_;
  };

  Options options_;
  /** Ordered by completion time, the latest last. */
  std::list<Entry> entries_;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> index_;
};

} // namespace goldcrestcroft

#pragma once

#include "Quarantine.h"

#include <map>

namespace goldcrestcroft {

/** \brief Buffers quarantine updates for dissemination to peers. Each update is
 * sent several times, since datagrams may be lost. */
class GossipBuffer
{
public:
  struct Options
  {
    /** Number of times that each update is sent. */
    unsigned transmissions_ = 4;
    /** Maximum number of buffered updates. */
    std::size_t capacity_ = 4096;
  };

  explicit GossipBuffer(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Buffers an update. It replaces an earlier one of the same
   * fingerprint; an update of a new fingerprint is dropped if the buffer is
   * full. */
  auto Add(const QuarantineUpdate& aUpdate) -> void
  {
    if (entries_.contains(aUpdate.fingerprint_) ||
        entries_.size() < options_.capacity_) {
      entries_[aUpdate.fingerprint_] = { .update_ = aUpdate,
                                         .remaining_ =
                                           options_.transmissions_ };
    }
  }

  /** \brief The next updates to send, at most aMax, least-sent first. */
  auto Take(std::size_t aMax) -> std::vector<QuarantineUpdate>;

  /** \brief Whether an update has not been sent yet. */
  [[nodiscard]] auto HasUnsent() const -> bool;

private:
  struct Entry
  {
    QuarantineUpdate update_;
    unsigned remaining_ = 0;
  };

  Options options_;
  std::map<std::uint64_t, Entry> entries_;
};

} // namespace goldcrestcroft

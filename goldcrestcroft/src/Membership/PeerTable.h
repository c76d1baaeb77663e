#pragma once

#include "PeerRecord.h"
#include "PeerState.h"

#include <algorithm>
#include <map>
#include <vector>

namespace goldcrestcroft {

/** \brief The entry hosts as this one knows them.
 *
 * Each host's heartbeat counter spreads by gossip: a record with a larger
 * incarnation or counter replaces the known one, and a counter that stands
 * still makes its host suspected, then gone. Nothing here is needed for
 * safety; wrong beliefs cost time only. */
class PeerTable
{
public:
  struct Options
  {
    PeerRecord self_;
    /** For up to scaleHosts_ hosts; beyond, both grow with their number, as
     * the time between two words of one host does. */
    Duration suspectAfter_ = std::chrono::milliseconds{ 1500 };
    Duration goneAfter_ = std::chrono::seconds{ 6 };
    std::size_t scaleHosts_ = 40;
    /** Gone hosts are remembered, against late records, for this long. */
    Duration forgetAfter_ = std::chrono::minutes{ 10 };
    std::size_t capacity_ = 2048;
  };

  PeerTable(Options aOptions, TimePoint aNow);

  /** \brief Time passes. Returns the hosts that are gone since the last. */
  auto Tick(TimePoint aNow) -> std::vector<HostId>;
  /** \brief Counts one own heartbeat and gives the record to send. */
  auto Beat() -> PeerRecord;
  auto SetLeaving() -> void { self_.leaving_ = true; }
  /** \brief Someone knows a life of this host that counts as later than this
   * one, as after a step of the clock: this one overtakes it. */
  auto Outlive(Incarnation aOther) -> void
  {
    if (aOther > self_.incarnation_) {
      self_.incarnation_ = aOther + 1;
    }
  }
  /** \brief Where callers connect from the next heartbeat on; empty while they
   * should not. */
  auto SetCallerAddress(std::string aAddress) -> void
  {
    self_.callerAddress_ = std::move(aAddress);
  }

  /** \brief A record arrived, from its host or passed on. Returns whether it
   * told anything new. */
  auto OnRecord(const PeerRecord& aRecord, TimePoint aNow) -> bool;

  [[nodiscard]] auto Self() const -> const PeerRecord& { return self_; }
  [[nodiscard]] auto StateOf(const HostId& aHost, TimePoint aNow) const
    -> PeerState;
  /** \brief Whether this incarnation of the host has surely ended: a newer one
   * was seen, or it is gone. A host never heard of counts as running. */
  [[nodiscard]] auto HasEnded(const HostId& aHost, Incarnation aIncarnation,
                              TimePoint aNow) const -> bool;

  /** \brief Peers worth sending to; without the own record. */
  [[nodiscard]] auto Peers(TimePoint aNow) const -> std::vector<PeerRecord>;
  /** \brief All hosts that are remembered, also those that are gone. */
  [[nodiscard]] auto All() const -> std::vector<PeerRecord>;
  /** \brief Up to aMost records to pass on, the longest unmentioned first. */
  auto TakeDigest(std::size_t aMost, TimePoint aNow) -> std::vector<PeerRecord>;

private:
  struct Entry
  {
    PeerRecord record_;
    TimePoint heardAt_;
    std::uint64_t mentionedAt_ = 0;
    bool reportedGone_ = false;
  };

  /** \brief A bound for the present number of hosts. */
  [[nodiscard]] auto Scaled(Duration aBound) const -> Duration
  {
    const auto hosts = std::max(entries_.size(), options_.scaleHosts_);
    return aBound * hosts / options_.scaleHosts_;
  }
  [[nodiscard]] auto Classify(const Entry& aEntry, TimePoint aNow) const
    -> PeerState;

  Options options_;
  PeerRecord self_;
  std::map<HostId, Entry> entries_;
  std::uint64_t digests_ = 0;
  TimePoint lastTick_;
};

} // namespace goldcrestcroft

#pragma once

#include "PeerRecord.h"
#include "PeerState.h"

#include <algorithm>
#include <map>
#include <vector>

namespace goldcrestcroft {

/** \brief The entry hosts known to this one.
 *
 * The heartbeat counter of each host is disseminated by gossip: a record
 * with a larger incarnation or counter replaces the known one, and a host
 * whose counter does not increase becomes suspected, then gone. Safety does
 * not depend on this table; a wrong state only costs time. */
class PeerTable
{
public:
  struct Options
  {
    PeerRecord self_;
    /** For up to scaleHosts_ hosts. Beyond, both times grow with the number
     * of hosts, as the interval between two records of one host does. */
    Duration suspectAfter_ = std::chrono::milliseconds{ 1500 };
    Duration goneAfter_ = std::chrono::seconds{ 6 };
    std::size_t scaleHosts_ = 40;
    /** Gone hosts are remembered for this long, so that late records of them
     * are recognized. */
    Duration forgetAfter_ = std::chrono::minutes{ 10 };
    std::size_t capacity_ = 2048;
  };

  PeerTable(Options aOptions, TimePoint aNow);

  /** \brief Advances time. Returns the hosts that have become gone since the
   * last call. */
  auto Tick(TimePoint aNow) -> std::vector<HostId>;
  /** \brief Increments the own heartbeat and returns the record to send. */
  auto Beat() -> PeerRecord;
  auto SetLeaving() -> void { self_.leaving_ = true; }
  /** \brief Another host knows a larger incarnation of this host, for
   * example after a clock step: the own incarnation supersedes it. */
  auto SupersedeIncarnation(Incarnation aOther) -> void
  {
    if (aOther > self_.incarnation_) {
      self_.incarnation_ = aOther + 1;
    }
  }
  /** \brief Sets the address where callers connect from the next heartbeat
   * on; empty while they must not connect. */
  auto SetCallerAddress(std::string aAddress) -> void
  {
    self_.callerAddress_ = std::move(aAddress);
  }

  /** \brief Handles a record that its host sent or another host passed on.
   * Returns whether it was newer than the known one. */
  auto OnRecord(const PeerRecord& aRecord, TimePoint aNow) -> bool;

  [[nodiscard]] auto Self() const -> const PeerRecord& { return self_; }
  [[nodiscard]] auto StateOf(const HostId& aHost, TimePoint aNow) const
    -> PeerState;
  /** \brief Whether this incarnation of the host has certainly ended: a
   * newer one was seen, or the host is gone. An unknown host counts as
   * running. */
  [[nodiscard]] auto HasEnded(const HostId& aHost, Incarnation aIncarnation,
                              TimePoint aNow) const -> bool;

  /** \brief Records of the hosts that are worth sending to, which are those
   * that are not gone; without the own one. */
  [[nodiscard]] auto Peers(TimePoint aNow) const -> std::vector<PeerRecord>;
  /** \brief All remembered hosts, including those that are gone. */
  [[nodiscard]] auto All() const -> std::vector<PeerRecord>;
  /** \brief Up to aMax records to pass on; those not passed on for the
   * longest time come first. */
  auto TakeDigest(std::size_t aMax, TimePoint aNow) -> std::vector<PeerRecord>;

private:
  struct Entry
  {
    PeerRecord record_;
    TimePoint lastReceivedAt_;
    std::uint64_t lastDigest_ = 0;
    bool reportedGone_ = false;
  };

  /** \brief aBound, scaled to the present number of hosts. */
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
  std::uint64_t digestCount_ = 0;
  TimePoint lastTick_;
};

} // namespace goldcrestcroft

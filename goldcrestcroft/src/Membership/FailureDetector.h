#pragma once

#include "ProbeMessage.h"

#include "../Core/Random.h"

#include <map>
#include <optional>
#include <vector>

namespace goldcrestcroft {

/** \brief Detects which hosts are alive, at a cost per host that does not grow
 * with the fleet.
 *
 * Each period a host pings one other. If no ack arrives in time, it asks
 * some other hosts to ping the target as well (indirect probes, as in
 * SWIM). If these fail too, the target is suspected, and it is declared
 * gone unless it refutes the suspicion in time. Updates are piggybacked on
 * the datagrams of the probes. A host that has received nothing since a
 * probe began assumes that its own link is broken and suspects nobody.
 * Single-threaded; the caller sends and receives the datagrams. */
class FailureDetector
{
public:
  struct Options
  {
    PeerRecord self_;
    /** Interval between the pings that a host sends. */
    Duration period_ = std::chrono::milliseconds{ 200 };
    /** The same while several hosts are suspected: when many hosts die at
     * once, few are left to detect it. */
    Duration fastPeriod_ = std::chrono::milliseconds{ 100 };
    /** Indirect probes start after this time without an ack. A busy host
     * with a tenth of a core, in another zone, answers within 100 ms. */
    Duration ackTimeout_ = std::chrono::milliseconds{ 150 };
    /** A probe has failed after this time. An indirect probe takes twice as
     * long as a direct one. */
    Duration probeTimeout_ = std::chrono::milliseconds{ 400 };
    std::size_t indirectProbes_ = 3;
    /** Time that a suspected host has to refute the suspicion. */
    Duration suspicionTimeout_ = std::chrono::milliseconds{ 1400 };
    /** A host that has received nothing for this long is isolated and acts
     * by itself, whether its link is cut or the others are dead. */
    Duration isolatedAfter_ = std::chrono::milliseconds{ 2000 };
    /** If the own process was paused for this long, probes in flight are
     * dropped and the pause does not count as silence of the others. */
    Duration localPauseThreshold_ = std::chrono::milliseconds{ 600 };
    /** One in this many probes goes to a host that is gone or not known yet,
     * so that the parts of a partitioned fleet find each other again. */
    std::uint64_t rejoinEvery_ = 4;
    /** Updates in one datagram, so that it fits one packet of 1,500 bytes,
     * and how often each is sent for every doubling of the fleet. */
    std::size_t updatesPerMessage_ = 12;
    std::uint32_t sendsPerDoubling_ = 2;
    /** Hosts to which new updates are pushed at once. */
    std::size_t fanOut_ = 3;
    /** Suspected hosts to which a push goes as well. */
    std::size_t suspectedFanOut_ = 1;
    /** Updates that arrive closer together than this are pushed together. */
    Duration minPushInterval_ = std::chrono::milliseconds{ 30 };
    /** A host is far behind a sender that knows more than this many times as
     * many hosts. */
    double farBehindRatio_ = 1.05;
    /** Gone hosts are remembered for this long, so that late updates about
     * them are recognized. */
    Duration forgetAfter_ = std::chrono::minutes{ 10 };
    std::size_t capacity_ = 2048;
  };
  struct Outgoing
  {
    std::string address_;
    ProbeMessage message_;
  };
  struct Change
  {
    HostId host_;
    std::optional<PeerState> from_;
    PeerState to_ = PeerState::Live;
    /** The cause, as a word for the log. */
    std::string reason_;
  };

  FailureDetector(Options aOptions, std::uint64_t aSeed, TimePoint aNow);

  /** \brief Advances time; must be called several times per period.
   * aAddresses are those of hosts that may exist, from the store or the
   * settings. */
  auto Tick(const std::vector<std::string>& aAddresses, TimePoint aNow)
    -> std::vector<Outgoing>;
  auto OnMessage(const ProbeMessage& aMessage, TimePoint aNow)
    -> std::vector<Outgoing>;
  /** \brief Merges the full list of another host. Its updates are not passed
   * on, since the other hosts know them. */
  auto Learn(const std::vector<PeerUpdate>& aUpdates, TimePoint aNow) -> void;

  auto SetLeaving() -> void;
  /** \brief Sets the address where callers connect from now on; empty while
   * they must not connect. */
  auto SetCallerAddress(std::string aAddress) -> void;
  /** \brief Updates to be sent to some hosts at once. */
  auto Push() -> std::vector<Outgoing>;
  /** \brief Updates to be sent to the host at the address. */
  auto PushTo(const std::string& aAddress) -> std::vector<Outgoing>;
  /** \brief A message without updates, for datagrams that go to one host
   * often: an update is sent a bounded number of times, all of which would
   * go to that host. */
  [[nodiscard]] auto WithoutUpdates() const -> ProbeMessage
  {
    return { .sender_ = self_, .hosts_ = static_cast<std::uint32_t>(Size()) };
  }

  /** \brief Whether a peer that knows aHosts hosts knows so many more that its
   * full list is worth fetching. */
  [[nodiscard]] auto IsFarBehind(std::uint32_t aHosts) const -> bool
  {
    return static_cast<double>(aHosts) >
           static_cast<double>(Size()) * options_.farBehindRatio_;
  }
  [[nodiscard]] auto Self() const -> const PeerRecord& { return self_; }
  /** \brief Hosts that are not gone, without the own one; none while this
   * host is isolated. */
  [[nodiscard]] auto Peers(TimePoint aNow) const -> std::vector<PeerUpdate>;
  [[nodiscard]] auto IsIsolated(TimePoint aNow) const -> bool
  {
    return aNow - lastReceivedAt_ >= options_.isolatedAfter_;
  }
  /** \brief All hosts that are not gone, as a list for a newcomer. */
  [[nodiscard]] auto WholeList() const -> std::vector<PeerUpdate>;
  /** \brief Number of hosts that are not gone, including the own one. */
  [[nodiscard]] auto Size() const -> std::size_t { return running_ + 1; }
  /** \brief Changes since the last call, in order. */
  auto TakeChanges() -> std::vector<Change>;

private:
  struct Entry
  {
    PeerUpdate update_;
    /** When the state was last set. */
    TimePoint since_;
  };
  struct Queued
  {
    PeerUpdate update_;
    std::uint32_t sent_ = 0;
  };
  struct Probe
  {
    std::string address_;
    TimePoint sentAt_;
    bool indirectProbesSent_ = false;
  };
  struct Relay
  {
    std::string address_;
    std::uint64_t probe_ = 0;
    TimePoint askedAt_;
  };

  /** \brief Applies the update if it is newer than what is known. Returns
   * whether it was applied, so that it may be passed on. */
  auto LearnOne(const PeerUpdate& aUpdate, const std::string& aReason,
                TimePoint aNow) -> bool;
  auto LearnAndDisseminate(const PeerUpdate& aUpdate,
                           const std::string& aReason, TimePoint aNow) -> void;
  auto LearnAboutSelf(const PeerUpdate& aUpdate) -> void;
  auto Set(Entry& aEntry, const PeerUpdate& aUpdate, const std::string& aReason,
           TimePoint aNow) -> void;
  auto Queue(const PeerUpdate& aUpdate) -> void;
  auto TakeUpdates() -> std::vector<PeerUpdate>;
  auto Message(ProbeKind aKind, std::uint64_t aProbe) -> ProbeMessage;
  /** \brief Adds what is known of the receiver if it is not Live, so that
   * the receiver can refute it. */
  auto AddUpdateAboutReceiver(ProbeMessage& aMessage,
                              const std::string& aAddress) const -> void;
  /** \brief Pushes pending updates if the last push was long enough ago. */
  auto PushIfNew(std::vector<Outgoing>& aOut, TimePoint aNow) -> void;
  auto EndProbes(std::vector<Outgoing>& aOut, TimePoint aNow) -> void;
  auto EndSuspicions(TimePoint aNow) -> void;
  auto NextTarget(const std::vector<std::string>& aAddresses)
    -> std::optional<std::string>;
  auto NextRejoinTarget(const std::vector<std::string>& aAddresses)
    -> std::optional<std::string>;
  auto SamplePeers(PeerState aState, std::size_t aMax,
                   const std::string& aExcept) -> std::vector<std::string>;
  auto EntryAt(const std::string& aAddress) -> Entry*;
  auto Forget(TimePoint aNow) -> void;
  auto Unmap(const PeerRecord& aRecord) -> void;

  Options options_;
  PeerRecord self_;
  RandomEngine random_;
  std::map<HostId, Entry> entries_;
  std::map<std::string, HostId> byAddress_;
  std::size_t running_ = 0;
  std::size_t suspected_ = 0;
  std::map<HostId, Queued> queue_;
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, Relay> relays_;
  /** Hosts still to be pinged in the current round, in random order. */
  std::vector<std::string> round_;
  std::vector<Change> changes_;
  std::uint64_t lastProbe_ = 0;
  std::uint64_t targetsChosen_ = 0;
  bool pushPending_ = false;
  TimePoint lastReceivedAt_;
  TimePoint nextPing_;
  TimePoint lastTick_;
  TimePoint prunedAt_;
  TimePoint pushedAt_;
};

} // namespace goldcrestcroft

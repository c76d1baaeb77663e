#pragma once

#include "ProbeMessage.h"

#include "../Core/Random.h"

#include <map>
#include <optional>
#include <vector>

namespace goldcrestcroft {

/** \brief Finds out which hosts live, at a cost that does not grow with the
 * fleet.
 *
 * Each period a host pings one other. Without an answer, some helpers ping it
 * as well; without theirs, it is suspected, and gone unless it refutes that in
 * time. News travels on the datagrams of the probes. A host that heard from
 * nobody since a probe began takes its own link for broken and suspects
 * nobody. One thread; the caller sends and receives. */
class FailureDetector
{
public:
  struct Options
  {
    PeerRecord self_;
    /** Time between two pings of one host. */
    Duration period_ = std::chrono::milliseconds{ 200 };
    /** The same while several hosts are suspected: where many die at once, few
     * are left to find out. */
    Duration alarmedPeriod_ = std::chrono::milliseconds{ 100 };
    /** Helpers are asked after this; a busy host of a tenth of a core, across
     * zones, answers within 100 ms. */
    Duration ackTimeout_ = std::chrono::milliseconds{ 150 };
    /** A probe has failed after this; the way by a helper takes twice as
     * long. */
    Duration probeTimeout_ = std::chrono::milliseconds{ 400 };
    std::size_t helpers_ = 3;
    /** Time in which a suspected host may refute. */
    Duration suspicion_ = std::chrono::milliseconds{ 1400 };
    /** A host that has heard from nobody for this long acts by itself, whether
     * its link is cut or the others are dead. */
    Duration aloneAfter_ = std::chrono::milliseconds{ 2000 };
    /** A pause of the own process beyond this voids what was under way. */
    Duration ownPause_ = std::chrono::milliseconds{ 600 };
    /** Every so many probes go to hosts that are gone or not known yet, so
     * that the parts of a fleet that was cut find each other again. */
    std::uint64_t strangerEvery_ = 4;
    /** Pieces of news in one datagram, so that it fits one packet of 1,500
     * bytes, and how often each is sent for every doubling of the fleet. */
    std::size_t newsPerMessage_ = 12;
    std::uint32_t repeatsPerDoubling_ = 2;
    /** Hosts told at once of what is new here. */
    std::size_t fanOut_ = 3;
    /** News that comes closer together goes out together. */
    Duration pushGap_ = std::chrono::milliseconds{ 30 };
    /** A list with so many times as many hosts is far longer. */
    double farMore_ = 1.05;
    /** Gone hosts are remembered, against late news, for this long. */
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
    /** Why, as a word for the log. */
    std::string reason_;
  };

  FailureDetector(Options aOptions, std::uint64_t aSeed, TimePoint aNow);

  /** \brief Time passes; to be called several times a period. aAddresses are
   * those of hosts that may exist, from the store or the settings. */
  auto Tick(const std::vector<std::string>& aAddresses, TimePoint aNow)
    -> std::vector<Outgoing>;
  auto OnMessage(const ProbeMessage& aMessage, TimePoint aNow)
    -> std::vector<Outgoing>;
  /** \brief A whole list from a neighbour; the others know it, so it is not
   * passed on. */
  auto Learn(const std::vector<PeerNews>& aNews, TimePoint aNow) -> void;

  auto SetLeaving() -> void;
  /** \brief Where callers connect from now on; empty while they should not. */
  auto SetCallerAddress(std::string aAddress) -> void;
  /** \brief News for some hosts at once. */
  auto Push() -> std::vector<Outgoing>;
  /** \brief News for the host at the address. */
  auto PushTo(const std::string& aAddress) -> std::vector<Outgoing>;
  /** \brief A message for what goes to one host often: news is sent a bounded
   * number of times, and would all go there. */
  [[nodiscard]] auto WithoutNews() const -> ProbeMessage
  {
    return { .sender_ = self_, .hosts_ = static_cast<std::uint32_t>(Size()) };
  }

  /** \brief Whether the sender knows far more hosts, so that its whole list is
   * worth fetching. */
  [[nodiscard]] auto IsFarBehind(const ProbeMessage& aMessage) const -> bool
  {
    return static_cast<double>(aMessage.hosts_) >
           static_cast<double>(Size()) * options_.farMore_;
  }
  [[nodiscard]] auto Self() const -> const PeerRecord& { return self_; }
  /** \brief Hosts that are not gone, without the own one; none for a host that
   * has heard from nobody for a while. */
  [[nodiscard]] auto Peers(TimePoint aNow) const -> std::vector<PeerNews>;
  [[nodiscard]] auto IsAlone(TimePoint aNow) const -> bool
  {
    return aNow - heardAt_ >= options_.aloneAfter_;
  }
  /** \brief All hosts that are not gone, as a list for a newcomer. */
  [[nodiscard]] auto WholeList() const -> std::vector<PeerNews>;
  /** \brief Hosts that are not gone, with the own one. */
  [[nodiscard]] auto Size() const -> std::size_t { return running_ + 1; }
  /** \brief Changes since the last call, in order. */
  auto TakeChanges() -> std::vector<Change>;

private:
  struct Entry
  {
    PeerNews news_;
    /** When it was suspected, or gone. */
    TimePoint since_;
  };
  struct Queued
  {
    PeerNews news_;
    std::uint32_t sent_ = 0;
  };
  struct Probe
  {
    std::string address_;
    TimePoint sentAt_;
    bool helpersAsked_ = false;
  };
  struct Relay
  {
    std::string address_;
    std::uint64_t probe_ = 0;
    TimePoint askedAt_;
  };

  /** \brief Whether the news was taken in, so that it may be passed on. */
  auto LearnOne(const PeerNews& aNews, const std::string& aReason,
                TimePoint aNow) -> bool;
  auto LearnAndPassOn(const PeerNews& aNews, const std::string& aReason,
                      TimePoint aNow) -> void;
  auto LearnOfSelf(const PeerNews& aNews) -> void;
  auto Set(Entry& aEntry, const PeerNews& aNews, const std::string& aReason,
           TimePoint aNow) -> void;
  auto Queue(const PeerNews& aNews) -> void;
  auto TakeNews() -> std::vector<PeerNews>;
  auto Message(ProbeKind aKind, std::uint64_t aProbe) -> ProbeMessage;
  /** \brief Adds what is believed of the receiver, if it has to refute it. */
  auto TellAccused(ProbeMessage& aMessage, const std::string& aAddress) const
    -> void;
  /** \brief Passes on what is new, if the last time is long enough ago. */
  auto PushIfNew(std::vector<Outgoing>& aOut, TimePoint aNow) -> void;
  auto EndProbes(std::vector<Outgoing>& aOut, TimePoint aNow) -> void;
  auto EndSuspicions(TimePoint aNow) -> void;
  auto NextTarget(const std::vector<std::string>& aAddresses)
    -> std::optional<std::string>;
  auto NextStranger(const std::vector<std::string>& aAddresses)
    -> std::optional<std::string>;
  auto SomePeers(std::size_t aMost, const std::string& aExcept)
    -> std::vector<std::string>;
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
  /** Running hosts in the order of the present round of pings. */
  std::vector<std::string> round_;
  std::vector<Change> changes_;
  std::uint64_t lastProbe_ = 0;
  std::uint64_t turns_ = 0;
  bool pushes_ = false;
  TimePoint heardAt_;
  TimePoint nextPing_;
  TimePoint lastTick_;
  TimePoint forgotAt_;
  TimePoint pushedAt_;
};

} // namespace goldcrestcroft

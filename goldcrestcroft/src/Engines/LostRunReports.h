#pragma once

#include "LostRun.h"
#include "SuspectKind.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Reports the lost runs of this host to the owners of their requests.
 *
 * Two hosts own the count of each request. They are chosen by rendezvous hash
 * of its fingerprint among the live hosts, so a loss costs a few datagrams to
 * two hosts, whatever the size of the fleet. Each run is sent to each owner
 * several times, since datagrams get lost. A host that becomes an owner later
 * receives the run as well, from the host that lost it and from the other
 * owners: a run is known as long as one of them is up when the owners change.
 */
class LostRunReports
{
public:
  struct Options
  {
    std::size_t owners_ = 2;
    /** How often a run is sent to each owner. At 2 % lost datagrams, one run
     * in 125,000 does not reach an owner. */
    std::uint32_t sendsPerOwner_ = 3;
    /** Maximum number of runs kept for future owners; beyond it the oldest is
     * evicted. */
    std::size_t capacity_ = 1024;
    Duration retention_ = std::chrono::minutes{ 2 };
    /** Maximum number of runs in one datagram, so that it fits one packet of
     * 1,500 bytes together with the rest of its content. */
    std::size_t runsPerMessage_ = 20;
  };

  /** \brief Runs to send to one owner. */
  struct Outgoing
  {
    /** Id of the host. */
    std::string owner_;
    std::vector<LostRun> runs_;
  };

  LostRunReports()
    : LostRunReports(Options{})
  {
  }
  explicit LostRunReports(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Adds a lost run of this host. */
  auto Add(const LostRun& aRun) -> void;
  /** \brief Adds a run that another host has reported to the owners, this host
   * among them. It is sent to later owners only. */
  auto AddReported(const LostRun& aRun) -> void;
  /** \brief Call when a copy of the request ran to completion on some host. Its
   * runs so far are no longer evidence, so they are not sent any more. */
  auto Forget(std::uint64_t aRequest) -> void;
  /** \brief Sets the ids of the live hosts, this one included. Runs that have
   * new owners as a result are sent to these. Returns whether the hosts have
   * changed. */
  auto SetHosts(std::vector<std::string> aHosts) -> bool;
  /** \brief What to send now, one message for each owner, which may be this
   * host. Call about every 100 ms. Runs that were sent to all their owners cost
   * nothing. */
  auto Due(TimePoint aNow) -> std::vector<Outgoing>;
  /** \brief The owners of the request. A notice that clears the request is also
   * sent to them directly, since they quarantine a request whose clearing does
   * not reach them in time. */
  [[nodiscard]] auto Owners(std::uint64_t aRequest) const
    -> std::vector<std::string>;
  /** \brief As many hosts besides aSelf: the owners, and the host that would
   * succeed aSelf if it is one of them. */
  [[nodiscard]] auto OtherOwners(std::uint64_t aRequest,
                                 const std::string& aSelf) const
    -> std::vector<std::string>;
  /** \brief Whether aHost is among the live hosts. */
  [[nodiscard]] auto IsLive(const std::string& aHost) const -> bool
  {
    return std::binary_search(hosts_.begin(), hosts_.end(), aHost);
  }
  [[nodiscard]] auto Size() const -> std::size_t { return runs_.size(); }

private:
  struct Report
  {
    LostRun run_;
    bool forgotten_ = false;
    /** How often the run was sent to each of its owners. */
    std::map<std::string, std::uint32_t> sendCounts_;
  };

  /** \brief Identifies a run: several suspects may be reported for one. */
  using Key = std::pair<std::uint64_t, std::uint64_t>;
  static auto KeyOf(const LostRun& aRun) -> Key
  {
    return { aRun.request_, aRun.run_ };
  }

  /** \brief Returns whether the run was not known. */
  auto Insert(const LostRun& aRun) -> bool;
  auto RemoveOldest() -> void;
  auto AssignOwners(std::uint64_t aNumber) -> void;
  auto Refresh(TimePoint aNow) -> void;
  [[nodiscard]] auto IsFullySent(const Report& aReport) const -> bool;

  Options options_;
  std::vector<std::string> hosts_;
  bool hostsChanged_ = false;
  std::deque<Report> runs_;
  std::set<Key> known_;
  /** Number of the first element of runs_; numbers are consecutive. */
  std::uint64_t first_ = 0;
  /** Numbers of the runs that still have to be sent to some owner. */
  std::vector<std::uint64_t> pending_;
};

/** \brief Whether runs of the suspect are passed on from owner to owner.
 *
 * A host that has just started does not know yet whether another part of the
 * prompt accounts for old runs of a part. New runs of it come within seconds if
 * it crashes engines. */
inline auto OutlivesOwners(std::uint64_t aSuspect) -> bool
{
  return KindOf(aSuspect) == SuspectKind::Request;
}

/** \brief The up to aCount hosts that own the count of the request, by
 * rendezvous hash. */
auto OwnersOf(std::uint64_t aRequest, const std::vector<std::string>& aHosts,
              std::size_t aCount) -> std::vector<std::string>;

} // namespace goldcrestcroft

#pragma once

#include "LostRun.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief The lost runs of this host, told to the keepers of their requests.
 *
 * Two hosts keep the count of each request, by rendezvous of its fingerprint
 * among the live hosts: a loss costs two hosts a datagram or a few, whatever
 * the size of the fleet. Each is told several times, since datagrams get lost,
 * and when another host becomes a keeper it is told in turn. */
class LostRunReports
{
public:
  struct Options
  {
    std::size_t keepers_ = 2;
    /** Times that each keeper is told; at 2 % lost datagrams, one run in
     * 125,000 remains untold to a keeper. */
    std::uint32_t repeats_ = 3;
    /** Own runs remembered for keepers to come. */
    std::size_t capacity_ = 1024;
    Duration rememberFor_ = std::chrono::minutes{ 2 };
    /** Runs in one datagram, so that it fits one packet of 1,500 bytes with
     * all else that it carries. */
    std::size_t runsPerMessage_ = 20;
  };

  /** \brief Runs for one keeper. */
  struct Outgoing
  {
    /** Id of the host. */
    std::string keeper_;
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

  /** \brief The oldest makes room at the limit. */
  auto Add(const LostRun& aRun) -> void;
  /** \brief A copy of the request ran to its end somewhere: its runs so far are
   * no evidence any more, so keepers to come are not told of them. */
  auto Forget(std::uint64_t aRequest) -> void;
  /** \brief The ids of the live hosts, this one included. Runs whose keepers
   * change by it are told again. */
  auto SetHosts(std::vector<std::string> aHosts) -> void;
  /** \brief What to send now, one message to a keeper, this host included
   * where it is one; to be called every 100 ms or so. Costs nothing for runs
   * that all their keepers were told of. */
  auto Due(TimePoint aNow) -> std::vector<Outgoing>;
  /** \brief The hosts to which notices that clear the request go besides: what
   * they do not hear in time, they hold back. */
  [[nodiscard]] auto Keepers(std::uint64_t aRequest) const
    -> std::vector<std::string>;
  /** \brief Whether it is among the live hosts. */
  [[nodiscard]] auto IsLive(const std::string& aHost) const -> bool
  {
    return std::binary_search(hosts_.begin(), hosts_.end(), aHost);
  }
  [[nodiscard]] auto Size() const -> std::size_t { return runs_.size(); }

private:
  struct Own
  {
    LostRun run_;
    bool forgotten_ = false;
    /** How often each of its keepers was told. */
    std::map<std::string, std::uint32_t> told_;
  };

  auto Assign(std::uint64_t aNumber) -> void;
  auto Refresh(TimePoint aNow) -> void;
  [[nodiscard]] auto IsTold(const Own& aOwn) const -> bool;

  Options options_;
  std::vector<std::string> hosts_;
  bool hostsChanged_ = false;
  std::deque<Own> runs_;
  /** Number of the first of runs_; they are numbered in a row. */
  std::uint64_t first_ = 0;
  /** Numbers of runs that some keeper is still to be told of. */
  std::vector<std::uint64_t> pending_;
};

/** \brief The hosts that keep the count of the request. */
auto KeepersOf(std::uint64_t aRequest, const std::vector<std::string>& aHosts,
               std::size_t aCount) -> std::vector<std::string>;

} // namespace goldcrestcroft

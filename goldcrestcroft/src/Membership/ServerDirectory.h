#pragma once

#include "../../Platform.h"

#include <map>
#include <set>
#include <vector>

namespace goldcrestcroft {

/** \brief Tracks which backend servers may receive new work.
 *
 * A server is leaving as soon as any one source reports it: the platform's
 * list, a peer, or the server itself. A server that failed is down until it
 * answers a probe. */
class ServerDirectory
{
public:
  struct Options
  {
    /** Interval between probes of a server that is down. */
    Duration probePeriod_ = std::chrono::milliseconds{ 500 };
    /** A source that has not repeated its report for this long no longer
     * counts; a replacement with the same id may then serve. */
    Duration leavingExpiry_ = std::chrono::seconds{ 30 };
  };

  /** \brief Source of a report that a server is leaving. */
  enum class Source
  {
    List,
    Peer,
    Server
  };

  explicit ServerDirectory(Options aOptions)
    : options_(aOptions)
  {
  }

  auto OnLeaving(const ServerId& aServer, Source aSource, TimePoint aNow)
    -> void;
  /** \brief Handles the platform's list. It withdraws earlier reports of
   * this source for servers that it lists as live. */
  auto OnList(const std::vector<ListedMember>& aMembers, TimePoint aNow)
    -> void;
  /** \brief A connection to the server was refused or broke. */
  auto OnDown(const ServerId& aServer, TimePoint aNow) -> void;
  /** \brief The server answered. */
  auto OnUp(const ServerId& aServer) -> void;

  [[nodiscard]] auto IsLeaving(const ServerId& aServer, TimePoint aNow) const
    -> bool;
  [[nodiscard]] auto IsDown(const ServerId& aServer) const -> bool
  {
    return down_.contains(aServer);
  }
  [[nodiscard]] auto MayServe(const ServerId& aServer, TimePoint aNow) const
    -> bool
  {
    return !IsDown(aServer) && !IsLeaving(aServer, aNow);
  }
  /** \brief Servers reported as leaving by a source other than a peer, to
   * notify the peers. */
  [[nodiscard]] auto LeavingFirstHand(TimePoint aNow) const
    -> std::vector<ServerId>;
  /** \brief Servers that are down and due for a probe. */
  auto TakeProbes(TimePoint aNow) -> std::vector<ServerId>;

private:
  Options options_;
  std::map<ServerId, std::map<Source, TimePoint>> leaving_;
  std::map<ServerId, TimePoint> down_;
};

} // namespace goldcrestcroft

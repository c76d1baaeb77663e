#pragma once

#include "../../Platform.h"

#include <map>
#include <set>
#include <vector>

namespace goldcrestcroft {

/** \brief Which backend servers may receive new work.
 *
 * Any one source that says a server is leaving suffices: the platform's list,
 * a peer, or the server itself. A server that failed is down until it answers a
 * probe. */
class ServerDirectory
{
public:
  struct Options
  {
    /** Between probes of a server that is down. */
    Duration probePeriod_ = std::chrono::milliseconds{ 500 };
    /** A source that has not repeated "leaving" for this long is not counted
     * any more; a replacement under the same id may then serve. */
    Duration leavingFor_ = std::chrono::seconds{ 30 };
  };

  /** \brief Where word of a leaving server came from. */
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
  /** \brief The platform's list; servers that it calls live are not leaving by
   * this source any more. */
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
  /** \brief Servers known first-hand to be leaving, to tell the peers. */
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

#pragma once

#include "../../Config.h"
#include "HostLoad.h"

#include <unordered_map>

namespace goldcrestcroft {

/** \brief What one entry host knows of one backend server's load. */
struct ServerLoad
{
  BackendServer server_;
  /** No new work: it leaves, is down, or is reserved for a suspect. */
  bool closed_ = false;
  /** Own requests there. */
  ServerCount mine_;
  /** Requests of each peer there, as last heard. */
  std::unordered_map<HostId, ServerCount> peers_;
  double reported_ = 0.0;

  [[nodiscard]] auto Slots() const -> double
  {
    return static_cast<double>(server_.slots_);
  }

  /** \brief Requests believed to be there for the server's own pool.
   *
   * Every request reaches a server through an entry host, so the sum over hosts
   * misses only what peers did since their last word. */
  [[nodiscard]] auto EstimatedForOwner() const -> double
  {
    return static_cast<double>(mine_.own_ + peersOwn_);
  }

  /** \brief The same with those of borrowers. */
  [[nodiscard]] auto Estimated() const -> double
  {
    return EstimatedForOwner() +
           static_cast<double>(mine_.borrowed_ + peersBorrowed_);
  }

  /** \brief The peers' part of EstimatedForOwner. */
  [[nodiscard]] auto PeersOwn() const -> double
  {
    return static_cast<double>(peersOwn_);
  }

  auto SetPeer(const HostId& aHost, const ServerCount& aCount) -> void
  {
    auto& known = peers_[aHost];
    peersOwn_ += aCount.own_ - known.own_;
    peersBorrowed_ += aCount.borrowed_ - known.borrowed_;
    known = aCount;
  }

  auto ForgetPeer(const HostId& aHost) -> void
  {
    SetPeer(aHost, {});
    peers_.erase(aHost);
  }

private:
  unsigned peersOwn_ = 0;
  unsigned peersBorrowed_ = 0;
};

} // namespace goldcrestcroft

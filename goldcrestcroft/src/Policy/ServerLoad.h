#pragma once

#include "../../Config.h"
#include "HostLoad.h"

#include <unordered_map>

namespace goldcrestcroft {

/** \brief The load of one backend server, as one entry host knows it. */
struct ServerLoad
{
  BackendServer server_;
  /** No new work: the server drains, is down, or is reserved for a suspect. */
  bool closed_ = false;
  /** Requests of this host at the server. */
  ServerCount local_;
  /** Requests of each peer at the server, as last received. */
  std::unordered_map<HostId, ServerCount> peers_;
  double reported_ = 0.0;

  [[nodiscard]] auto Slots() const -> double
  {
    return static_cast<double>(server_.slots_);
  }

  /** \brief Estimated requests at the server for the server's own pool.
   *
   * Every request reaches a server through an entry host, so the sum over hosts
   * is off only by the changes since the peers' last reports. */
  [[nodiscard]] auto EstimatedForOwnPool() const -> double
  {
    return static_cast<double>(local_.own_ + peersOwn_);
  }

  /** \brief Estimated requests at the server, including borrowed use. */
  [[nodiscard]] auto Estimated() const -> double
  {
    return EstimatedForOwnPool() +
           static_cast<double>(local_.borrowed_ + peersBorrowed_);
  }

  /** \brief The peers' part of EstimatedForOwnPool. */
  [[nodiscard]] auto PeersForOwnPool() const -> double
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

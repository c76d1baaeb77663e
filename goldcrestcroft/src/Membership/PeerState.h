#pragma once

namespace goldcrestcroft {

/** \brief State of a peer as seen by this host. */
enum class PeerState
{
  Live,
  /** Reported by the peer itself: it finishes what it has and accepts
   * nothing new. */
  Leaving,
  /** For a while nothing showed that the peer is alive. */
  Suspected,
  /** The same for so long that its incarnation is taken as ended. */
  Gone
};

} // namespace goldcrestcroft

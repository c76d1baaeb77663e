#pragma once

namespace goldcrestcroft {

/** \brief What this host believes of a peer. */
enum class PeerState
{
  Live,
  /** Told by itself: finishes what it has and takes nothing new. */
  Leaving,
  /** Not heard of for a while. */
  Suspected,
  /** Not heard of for so long that its incarnation is taken as ended. */
  Gone
};

} // namespace goldcrestcroft

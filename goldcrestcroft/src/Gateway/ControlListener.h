#pragma once

#include "../../Engines.h"
#include "FleetView.h"
#include "PeerFrames.h"

#include <functional>
#include <memory>

namespace goldcrestcroft {

/** \brief Callbacks by which the control thread informs the traffic thread;
 * called on the control thread. */
struct ControlListener
{
  std::function<void(std::shared_ptr<const RoutingTable>)> onRouting_;
  std::function<void(std::shared_ptr<const EngineList>)> onEngines_;
  std::function<void(std::shared_ptr<const FleetView>)> onFleet_;
  std::function<void(const SuspectNotice&)> onSuspect_;
  std::function<void(const LeavingEngine&)> onLeaving_;
  std::function<void(const EngineLimit&)> onLimit_;
  std::function<void(const PermitReply&)> onPermit_;
  /** The store was restored from an older copy and is in this era. */
  std::function<void(std::uint64_t)> onStoreRestored_;
};

} // namespace goldcrestcroft

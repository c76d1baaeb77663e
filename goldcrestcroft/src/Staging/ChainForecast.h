#pragma once

#include "../Routing/RoutingTable.h"
#include "StageBacklog.h"

#include <functional>

namespace goldcrestcroft {

/** \brief What the stages of a request will take from now. */
struct ChainForecast
{
  /** Along the longest chain of stages, waits included. */
  Duration total_{};
  /** The waits on that chain alone. */
  Duration waiting_{};

  auto operator<=>(const ChainForecast&) const = default;
};

/** \brief Adds up calls and waits along each chain of the route's stages;
 * aPieces are the pieces of each stage, none for one that is left out. aWaitAt
 * tells how long the work ahead of a fresh order will keep a service, that on
 * its way from earlier stages included. */
auto ForecastChain(const Route& aRoute,
                   const std::vector<std::uint32_t>& aPieces,
                   const RoutingTable& aRouting,
                   const std::function<Duration(const std::string&)>& aWaitAt)
  -> ChainForecast;

} // namespace goldcrestcroft

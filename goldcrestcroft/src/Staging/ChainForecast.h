#pragma once

#include "../Routing/RoutingTable.h"
#include "StageBacklog.h"

#include <functional>

namespace goldcrestcroft {

/** \brief Forecast of the time that the stages of a request still take. */
struct ChainForecast
{
  /** Time along the longest chain of stages, including waits. */
  Duration total_{};
  /** The part of total_ that is spent waiting in queues. */
  Duration waiting_{};

  auto operator<=>(const ChainForecast&) const = default;
};

/** \brief Sums calls and waits along each chain of the route's stages and
 * returns the longest chain.
 *
 * aPieces holds the number of pieces of each stage, 0 for a stage that is
 * skipped. aWaitAt returns how long a service needs for the work ahead of a new
 * order, including work that is still to arrive from earlier stages. */
auto ForecastChain(const Route& aRoute,
                   const std::vector<std::uint32_t>& aPieces,
                   const RoutingTable& aRouting,
                   const std::function<Duration(const std::string&)>& aWaitAt)
  -> ChainForecast;

} // namespace goldcrestcroft

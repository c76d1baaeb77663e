#pragma once

#include "EventQueue.h"
#include "Scenario.h"

#include <goldcrestcroft/Policy.h>

#include <vector>

namespace bench {

/** \brief One stage of one request as it will turn out. */
struct StageWork
{
  goldcrestcroft::PoolId pool_;
  double size_ = 1.0;
  /** Time on an idle server; known to nobody before. */
  Duration service_{ 0 };
};

/** \brief One request of the offered load. */
struct OfferedRequest
{
  TimePoint arrival_;
  TimePoint deadline_;
  goldcrestcroft::WorkspaceId workspace_;
  goldcrestcroft::Priority priority_ = goldcrestcroft::Priority::Normal;
  std::vector<StageWork> stages_;
  std::uint64_t session_ = 0;
  /** For the dedicated engines; not part of the shared load. */
  bool desk_ = false;
};

/** \brief All requests of a scenario, the same for every policy. */
auto MakeWorkload(const Scenario& aScenario, TimePoint aStart)
  -> std::vector<OfferedRequest>;

} // namespace bench

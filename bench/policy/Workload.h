#pragma once

#include "EventQueue.h"
#include "Scenario.h"

#include <goldcrestcroft/Policy.h>

#include <vector>

namespace bench {

/** \brief One stage of one request with its actual size and service time. */
struct StageWork
{
  goldcrestcroft::PoolId pool_;
  double size_ = 1.0;
  /** Service time on an idle server; not known to any policy in advance. */
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
  /** Sent to the dedicated engines; not part of the shared load. */
  bool dedicated_ = false;
};

/** \brief Returns all requests of a scenario; they are the same for every
 * policy. */
auto MakeWorkload(const Scenario& aScenario, TimePoint aStart)
  -> std::vector<OfferedRequest>;

} // namespace bench

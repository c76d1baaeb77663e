#pragma once

#include <goldcrestcroft/Config.h>

#include <string>
#include <vector>

namespace bench {

using goldcrestcroft::Duration;

/** \brief Sizes, lending and network delay of a simulated deployment. */
struct Deployment
{
  std::string name_;
  int sharedEngines_ = 12;
  std::vector<int> dedicatedEngines_;
  int workspaces_ = 5;
  /** Whether the dedicated engines lend idle copies to the shared queue. */
  bool lends_ = true;
  /** One-way delay between two availability zones. */
  Duration interZoneDelay_{ 1000 };
};

auto TumenCraftExchange() -> Deployment;
auto Plauderbruecke() -> Deployment;

/** \brief Deployment, load, faults and reporting delays of one run. */
struct Scenario
{
  std::string name_;
  Deployment deployment_;
  int hosts_ = 8;
  /** Offered work as a fraction of the capacity of the shared engines. */
  double load_ = 0.9;
  /** The load alternates between 0.5 and 1.5 times load_ every second. */
  bool bursts_ = false;
  /** For a third of the run, inputs are six times as long. */
  bool longInputs_ = false;
  /** One shared engine takes six times as long for half of the run. */
  bool straggler_ = false;
  /** A third of all servers is down for a third of the run. */
  bool zoneLost_ = false;
  /** One entry host crashes after a third of the run. */
  bool hostLost_ = false;
  /** The first workspace offers, in addition, ten times its even share of the
   * capacity of the shared engines. */
  bool flood_ = false;
  /** Age of a server's load report when it reaches the dispatchers. */
  Duration reportLag_ = std::chrono::milliseconds{ 500 };
  /** Interval between the load updates that an entry host sends to its peers.
   */
  Duration gossipPeriod_ = std::chrono::milliseconds{ 250 };
  Duration length_ = std::chrono::seconds{ 30 };
  std::uint64_t seed_ = 1;
};

/** \brief Returns the configuration that is active on all hosts. */
auto MakeConfiguration(const Deployment& aDeployment)
  -> goldcrestcroft::Configuration;

} // namespace bench

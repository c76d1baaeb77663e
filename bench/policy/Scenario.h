#pragma once

#include <goldcrestcroft/Config.h>

#include <string>
#include <vector>

namespace bench {

using goldcrestcroft::Duration;

/** \brief Sizes of a deployment. */
struct Deployment
{
  std::string name_;
  int sharedEngines_ = 12;
  std::vector<int> dedicatedEngines_;
  int workspaces_ = 5;
  /** Whether the dedicated engines lend idle copies to the shared queue. */
  bool lends_ = true;
  /** One way between two availability zones. */
  Duration betweenZones_{ 1000 };
};

auto TumenCraftExchange() -> Deployment;
auto Plauderbruecke() -> Deployment;

/** \brief What happens during one run. */
struct Scenario
{
  std::string name_;
  Deployment deployment_;
  int hosts_ = 8;
  /** Offered work over what the shared engines can do. */
  double load_ = 0.9;
  /** The load alternates between 0.5 and 1.5 of itself every second. */
  bool bursts_ = false;
  /** For a third of the run, inputs are six times as long. */
  bool longBriefs_ = false;
  /** One shared engine takes six times as long for half of the run. */
  bool straggler_ = false;
  /** A third of all servers is down for a third of the run. */
  bool zoneLost_ = false;
  /** One entry host dies after a third of the run. */
  bool hostLost_ = false;
  /** The first workspace offers ten times its share on top. */
  bool flood_ = false;
  /** Age of load reports. */
  Duration reportLag_ = std::chrono::milliseconds{ 500 };
  /** Between an entry host's words to its peers. */
  Duration gossipPeriod_ = std::chrono::milliseconds{ 250 };
  Duration length_ = std::chrono::seconds{ 30 };
  std::uint64_t seed_ = 1;
};

/** \brief The configuration that all hosts have in force. */
auto MakeConfiguration(const Deployment& aDeployment)
  -> goldcrestcroft::Configuration;

} // namespace bench

#pragma once

#include "SoakCaller.h"
#include "SoakPlan.h"

#include <map>
#include <set>

namespace soak {

struct HostExit;

/** \brief Interval in which an engine was draining. */
struct DrainRecord
{
  std::string engine_;
  TimePoint from_;
  TimePoint to_ = TimePoint::max();
};

/** \brief Interval in which an engine advertised a rate limit in all its
 * responses. */
struct LimitRecord
{
  std::string engine_;
  double perSecond_ = 0.0;
  TimePoint from_;
  TimePoint to_ = TimePoint::max();
};

/** \brief A stop of a host by SIGTERM. */
struct StopRecord
{
  std::size_t host_ = 0;
  /** Number of the host's process, counted from its first start. */
  unsigned incarnation_ = 0;
  TimePoint at_;
  Duration grace_ = SoakFleet::kGrace;
  /** When its process was observed to have exited. */
  TimePoint endedAt_ = TimePoint::max();
};

/** \brief An outage of the platform or of all hosts that has ended. */
struct OutageRecord
{
  std::string kind_;
  TimePoint endedAt_;
};

/** \brief Injects the faults of a plan and records when each part of the
 * deployment was affected. */
class FaultInjector
{
public:
  FaultInjector(asio::io_context& aContext, SoakFleet& aFleet);

  /** \brief Runs the plan; returns when all its faults are over. */
  auto Run(std::vector<Fault> aPlan) -> Task<void>;
  /** \brief Until Stop, restarts hosts that exited on their own and records
   * each as a problem. */
  auto Watch() -> Task<void>;
  auto Stop() -> void { stopRequested_ = true; }

  [[nodiscard]] auto Operator() const -> const OperatorState&
  {
    return operator_;
  }
  /** \brief Adds the crashes of engines to the fault log. */
  auto LogEngineCrashes() -> void;
  /** \brief When configurations were written to the store. */
  [[nodiscard]] auto Changes() const -> const std::vector<TimePoint>&
  {
    return changes_;
  }
  [[nodiscard]] auto Faults() const -> const FaultLog& { return faultLog_; }
  [[nodiscard]] auto Drains() const -> const std::vector<DrainRecord>&
  {
    return drains_;
  }
  [[nodiscard]] auto Limits() const -> const std::vector<LimitRecord>&
  {
    return limits_;
  }
  [[nodiscard]] auto Stops() const -> const std::vector<StopRecord>&
  {
    return stopRecords_;
  }
  [[nodiscard]] auto Outages() const -> const std::vector<OutageRecord>&
  {
    return outages_;
  }
  /** \brief Violations observed in the host processes. */
  [[nodiscard]] auto Problems() const -> const std::vector<std::string>&
  {
    return problems_;
  }

private:
  auto Apply(Fault aFault) -> Task<void>;
  auto Pause(Fault aFault) -> Task<void>;
  auto Kill(Fault aFault) -> Task<void>;
  auto StopHost(Fault aFault) -> Task<void>;
  auto Reload(Fault aFault) -> Task<void>;
  auto InjectLinkFault(LoopbackProxy& aLink, std::string aPart, Fault aFault)
    -> Task<void>;
  auto InjectEngineLinkFault(Fault aFault) -> Task<void>;
  auto InjectEngineFault(Fault aFault) -> Task<void>;
  /** \brief Lets an engine send responses without a length for a while. */
  auto SendUnframed(Fault aFault) -> goldcrestcroft::Task<void>;
  auto RestartEngine(Fault aFault) -> Task<void>;
  auto Drain(Fault aFault) -> Task<void>;
  auto LimitEngine(Fault aFault) -> Task<void>;
  auto InjectStoreFault(Fault aFault) -> Task<void>;
  /** \brief Makes the store refuse most hosts or leave them without a reply,
   * and revokes one key meanwhile. */
  auto RefuseHosts(Fault aFault) -> Task<void>;
  /** \brief Has the store return to an older copy, one host's endpoint later
   * than the others. The operator and the engines then write their rows
   * again. */
  auto RestoreStore(Fault aFault) -> Task<void>;
  /** \brief Makes the store and all engines stand still or refuse. */
  auto InterruptPlatform(Fault aFault) -> Task<void>;
  auto RestartAllHosts(Fault aFault) -> Task<void>;
  auto LoseHostsInOutage(Fault aFault) -> Task<void>;
  /** \brief Applies the fault beside others. */
  auto Spawn(Fault aFault) -> void;
  auto ChangeConfig(const Fault& aFault) -> void;
  auto RecordExit(std::size_t aHost, const HostExit& aEnd) -> void;
  auto AwaitExit(std::size_t aHost) -> Task<bool>;
  [[nodiscard]] auto Now() const -> TimePoint;

  asio::io_context& context_;
  SoakFleet& fleet_;
  OperatorState operator_;
  FaultLog faultLog_;
  std::vector<DrainRecord> drains_;
  std::vector<LimitRecord> limits_;
  std::vector<StopRecord> stopRecords_;
  std::vector<OutageRecord> outages_;
  std::vector<TimePoint> changes_;
  std::vector<std::string> problems_;
  /** Number of active faults by part; the part recovers when the last ends. */
  std::map<std::string, int> active_;
  std::chrono::milliseconds idleTime_{ 15'000 };
  unsigned routes_ = 0;
  unsigned keys_ = 0;
  std::size_t running_ = 0;
  bool stopRequested_ = false;
};

} // namespace soak

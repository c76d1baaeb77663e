#pragma once

#include "SoakCaller.h"
#include "SoakPlan.h"

#include <map>
#include <set>

namespace soak {

struct HostEnd;

/** \brief An engine was told to drain. */
struct DrainRecord
{
  std::string engine_;
  TimePoint from_;
  TimePoint to_ = TimePoint::max();
};

/** \brief An engine named a limit in all its answers. */
struct LimitRecord
{
  std::string engine_;
  double perSecond_ = 0.0;
  TimePoint from_;
  TimePoint to_ = TimePoint::max();
};

/** \brief A host was told to stop. */
struct StopRecord
{
  std::size_t host_ = 0;
  /** Process of that host, counted from its first start. */
  unsigned life_ = 0;
  TimePoint at_;
  Duration grace_ = SoakFleet::kGrace;
  /** When its process was seen to have ended. */
  TimePoint endedAt_ = TimePoint::max();
};

/** \brief Brings about the faults of a plan, and notes when what was harmed. */
class FaultInjector
{
public:
  FaultInjector(asio::io_context& aContext, SoakFleet& aFleet);

  /** \brief Runs the plan to its end, with all that it began. */
  auto Run(std::vector<Fault> aPlan) -> Task<void>;
  /** \brief Looks for processes that ended by themselves until Stop. */
  auto Watch() -> Task<void>;
  auto Stop() -> void { stops_ = true; }

  [[nodiscard]] auto Operator() const -> const OperatorState&
  {
    return operator_;
  }
  /** \brief Takes the ends of engines into the harm. */
  auto NoteEnds() -> void;
  /** \brief When configurations were written. */
  [[nodiscard]] auto Changes() const -> const std::vector<TimePoint>&
  {
    return changes_;
  }
  [[nodiscard]] auto Harm() const -> const Disturbances& { return harm_; }
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
  /** \brief What it saw of processes that breaks a promise. */
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
  auto HarmLink(LoopbackProxy& aLink, std::string aPart, Fault aFault)
    -> Task<void>;
  auto HarmEngineLink(Fault aFault) -> Task<void>;
  auto HarmEngine(Fault aFault) -> Task<void>;
  auto RestartEngine(Fault aFault) -> Task<void>;
  auto Drain(Fault aFault) -> Task<void>;
  auto Limit(Fault aFault) -> Task<void>;
  auto HarmStore(Fault aFault) -> Task<void>;
  /** \brief Most hosts get refusals or nothing at the store, and one key is
   * taken away meanwhile. */
  auto TurnAway(Fault aFault) -> Task<void>;
  auto ChangeConfig(const Fault& aFault) -> void;
  auto NoteEnd(std::size_t aHost, const HostEnd& aEnd) -> void;
  auto AwaitEnd(std::size_t aHost) -> Task<bool>;
  [[nodiscard]] auto Now() const -> TimePoint;

  asio::io_context& context_;
  SoakFleet& fleet_;
  OperatorState operator_;
  Disturbances harm_;
  std::vector<DrainRecord> drains_;
  std::vector<LimitRecord> limits_;
  std::vector<StopRecord> stopRecords_;
  std::vector<TimePoint> changes_;
  std::vector<std::string> problems_;
  /** Faults under way, by the part; the last one ends the harm. */
  std::map<std::string, int> active_;
  std::chrono::milliseconds idleTime_{ 15'000 };
  unsigned routes_ = 0;
  unsigned keys_ = 0;
  std::size_t running_ = 0;
  bool stops_ = false;
};

} // namespace soak

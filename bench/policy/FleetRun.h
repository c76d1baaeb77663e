#pragma once

#include "FakeServer.h"
#include "RunResult.h"
#include "Workload.h"

#include <memory>
#include <set>

namespace bench {

/** \brief Simulates one run: the dispatchers of all entry hosts in front of
 * fake servers. All activity runs as events of one queue on a virtual clock,
 * and the network is modelled by delays only. */
template<goldcrestcroft::RoutingPolicy Routing>
class FleetRun
{
public:
  struct Options
  {
    Scenario scenario_;
    goldcrestcroft::DispatcherOptions dispatcher_;
    /** Sends all requests through one dispatcher, which thus has immediate and
     * exact knowledge of the load. */
    bool oracle_ = false;
    /** Hedges (second copies of slow attempts) that the retry budget earns per
     * successful attempt. Retries of lost attempts do not use the budget. */
    double retryShare_ = 0.04;
  };

  explicit FleetRun(Options aOptions);
  auto Run() -> RunResult;

private:
  using Dispatcher = goldcrestcroft::Dispatcher<Routing>;

  struct Host
  {
    std::unique_ptr<Dispatcher> dispatcher_;
    goldcrestcroft::RetryBudget budget_{ {} };
    bool alive_ = true;
  };
  struct Attempt
  {
    std::size_t request_ = 0;
    std::size_t host_ = 0;
    goldcrestcroft::ServerId server_;
    bool sent_ = false;
  };
  struct Request
  {
    OfferedRequest offered_;
    std::size_t host_ = 0;
    std::size_t stage_ = 0;
    int attempts_ = 0;
    bool ended_ = false;
    std::set<AttemptId> active_;
    std::map<std::string, Duration> spent_;
    TimePoint firstToken_;
  };

  auto ScheduleAll() -> void;
  auto ScheduleFaults() -> void;
  auto Arrive(std::size_t aRequest) -> void;
  auto PickHost() -> std::size_t;
  auto SubmitStage(std::size_t aRequest, const goldcrestcroft::ServerId& aAvoid)
    -> void;
  auto Forecast(const Request& aRequest) const
    -> std::vector<goldcrestcroft::StageForecast>;
  auto Pump(std::size_t aHost) -> void;
  auto Send(const goldcrestcroft::Assignment& aAssignment) -> void;
  auto DeliverToServer(const AttemptId& aId, bool aBorrowed) -> void;
  auto OnDone(const AttemptId& aId) -> void;
  auto OnLost(const AttemptId& aId) -> void;
  auto OnUnreachable(const goldcrestcroft::ServerId& aServer, std::size_t aHost)
    -> void;
  auto ScheduleHedge(const AttemptId& aId) -> void;
  auto CancelAttempt(const AttemptId& aId) -> void;
  auto EndRequest(std::size_t aRequest, bool aInTime, bool aRefused) -> void;
  auto Tick(std::size_t aHost) -> void;
  auto Gossip(std::size_t aHost) -> void;
  auto ReportLoads() -> void;
  auto NetworkDelay(const goldcrestcroft::ServerId& aServer,
                    std::size_t aHost) const -> Duration;
  auto ZoneOf(std::size_t aHost) const -> std::string
  {
    return "zone-" + std::to_string(aHost % 3);
  }

  Options options_;
  EventQueue events_;
  goldcrestcroft::Configuration config_;
  TimePoint start_;
  goldcrestcroft::RandomEngine random_;
  std::vector<Host> hosts_;
  std::vector<Request> requests_;
  std::map<goldcrestcroft::ServerId, std::unique_ptr<FakeServer>> servers_;
  std::map<goldcrestcroft::ServerId, goldcrestcroft::BackendServer>
    serverConfigs_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  RunResult result_;
};

} // namespace bench

#include "FleetRunAttempts.h"
#include "FleetRunEvents.h"
#include "FleetRunSetup.h"

#pragma once

#include "FleetRunSetup.h"

namespace bench {

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::CancelAttempt(const AttemptId& aId) -> void
{
  const auto node = attempts_.extract(aId);
  if (node.empty()) {
    return;
  }
  const auto& attempt = node.mapped();
  hosts_[attempt.host_].dispatcher_->Cancel(aId, events_.Now());
  if (attempt.sent_) {
    servers_.at(attempt.server_)->Cancel(aId);
  }
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::EndRequest(std::size_t aRequest, bool aInTime,
                                   bool aRefused) -> void
{
  auto& request = requests_[aRequest];
  if (request.ended_) {
    return;
  }
  request.ended_ = true;
  for (const auto& id : std::exchange(request.active_, {})) {
    CancelAttempt(id);
  }
  const auto& offered = request.offered_;
  const auto elapsed =
    goldcrestcroft::ToMilliseconds(events_.Now() - offered.arrival_);
  if (aInTime) {
    for (const auto& [pool, spent] : request.spent_) {
      result_.useful_[pool] += std::chrono::duration<double>(spent).count();
    }
  }
  if (offered.dedicated_) {
    result_.dedicatedInTime_ += aInTime ? 1 : 0;
    return;
  }
  result_.inTime_ += aInTime ? 1 : 0;
  result_.refused_ += aRefused ? 1 : 0;
  result_.missed_ += !aInTime && !aRefused ? 1 : 0;
  result_.inTimeBy_[offered.workspace_.value_] += aInTime ? 1 : 0;
  if (aInTime) {
    result_.firstTokenMilliseconds_.push_back(
      goldcrestcroft::ToMilliseconds(request.firstToken_ - offered.arrival_));
  }
  if (aRefused) {
    result_.refusalMilliseconds_.push_back(elapsed);
  }
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::Tick(std::size_t aHost) -> void
{
  auto& host = hosts_[aHost];
  if (!host.alive_) {
    return;
  }
  const auto now = events_.Now();
  for (const auto& infeasible : host.dispatcher_->TakeInfeasible(now)) {
    const auto found = attempts_.find(infeasible.id_);
    if (found != attempts_.end()) {
      EndRequest(found->second.request_, false, true);
    }
  }
  if (now.time_since_epoch() % kDispatcherTickPeriod < kTickPeriod) {
    host.dispatcher_->Tick(now);
  }
  Pump(aHost);
  events_.After(kTickPeriod, [this, aHost] { Tick(aHost); });
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::Gossip(std::size_t aHost) -> void
{
  if (!hosts_[aHost].alive_) {
    return;
  }
  const auto load = hosts_[aHost].dispatcher_->ExportLoad();
  events_.After(options_.scenario_.deployment_.interZoneDelay_,
                [this, aHost, load] {
                  for (std::size_t peer = 0; peer < hosts_.size(); ++peer) {
                    if (peer != aHost && hosts_[peer].alive_) {
                      hosts_[peer].dispatcher_->OnPeerLoad(load, events_.Now());
                      Pump(peer);
                    }
                  }
                });
  events_.After(options_.scenario_.gossipPeriod_,
                [this, aHost] { Gossip(aHost); });
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::ReportLoads() -> void
{
  for (const auto& [id, server] : servers_) {
    const auto inFlight = static_cast<double>(server->InFlight());
    const auto lag =
      options_.oracle_ ? Duration{ 0 } : options_.scenario_.reportLag_;
    events_.After(lag, [this, server = id, inFlight] {
      for (auto& host : hosts_) {
        host.dispatcher_->OnReport(server, inFlight);
      }
    });
  }
  events_.After(kReportPeriod, [this] { ReportLoads(); });
}

} // namespace bench

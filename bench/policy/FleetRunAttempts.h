#pragma once

#include "FleetRunSetup.h"

namespace bench {

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::Arrive(std::size_t aRequest) -> void
{
  auto& request = requests_[aRequest];
  const auto& offered = request.offered_;
  const auto firstArrival = request.offered_.arrival_ == events_.Now();
  if (firstArrival) {
    auto& all =
      offered.dedicated_ ? result_.dedicatedOffered_ : result_.offered_;
    ++all;
    result_.offeredBy_[offered.workspace_.value_] += offered.dedicated_ ? 0 : 1;
    events_.At(offered.deadline_,
               [this, aRequest] { EndRequest(aRequest, false, false); });
  }
  request.host_ = PickHost();
  auto& dispatcher = *hosts_[request.host_].dispatcher_;
  const auto admission =
    dispatcher.Admit(Forecast(request), offered.workspace_, offered.priority_,
                     offered.deadline_, events_.Now());
  if (!admission.admitted_) {
    EndRequest(aRequest, false, true);
    return;
  }
  SubmitStage(aRequest, {});
  Pump(request.host_);
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::SubmitStage(std::size_t aRequest,
                                    const goldcrestcroft::ServerId& aAvoid)
  -> void
{
  auto& request = requests_[aRequest];
  const auto& offered = request.offered_;
  const auto& stage = offered.stages_[request.stage_];
  auto& dispatcher = *hosts_[request.host_].dispatcher_;
  const AttemptId id{ std::to_string(aRequest) + "." +
                      std::to_string(request.stage_) + "." +
                      std::to_string(++request.attempts_) };
  auto later = Forecast(request);
  later.erase(later.begin());
  request.active_.insert(id);
  attempts_[id] = { .request_ = aRequest, .host_ = request.host_ };
  dispatcher.Submit({ .id_ = id,
                      .pool_ = stage.pool_,
                      .workspace_ = offered.workspace_,
                      .priority_ = offered.priority_,
                      .deadline_ = offered.deadline_,
                      .reserve_ = dispatcher.ServiceTime(later),
                      .size_ = stage.size_,
                      .affinity_ = offered.session_,
                      .avoid_ = aAvoid });
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::Pump(std::size_t aHost) -> void
{
  while (const auto assignment =
           hosts_[aHost].dispatcher_->Next(events_.Now())) {
    Send(*assignment);
  }
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::Send(const goldcrestcroft::Assignment& aAssignment)
  -> void
{
  const auto& id = aAssignment.work_.id_;
  auto& attempt = attempts_.at(id);
  attempt.server_ = aAssignment.server_;
  attempt.sent_ = true;
  ++result_.attempts_;
  const auto borrowed = aAssignment.borrowed_;
  events_.After(NetworkDelay(attempt.server_, attempt.host_),
                [this, id, borrowed] { DeliverToServer(id, borrowed); });
  ScheduleHedge(id);
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::DeliverToServer(const AttemptId& aId, bool aBorrowed)
  -> void
{
  const auto found = attempts_.find(aId);
  if (found == attempts_.end()) {
    return;
  }
  const auto attempt = found->second;
  const auto& request = requests_[attempt.request_];
  const auto& stage = request.offered_.stages_[request.stage_];
  const auto accepted =
    servers_.at(attempt.server_)
      ->Accept(aId, stage.service_, aBorrowed, [this, aId] {
        const auto done = attempts_.find(aId);
        if (done != attempts_.end()) {
          events_.After(NetworkDelay(done->second.server_, done->second.host_),
                        [this, aId] { OnDone(aId); });
        }
      });
  if (!accepted) {
    OnUnreachable(attempt.server_, attempt.host_);
    OnLost(aId);
  }
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::OnUnreachable(const goldcrestcroft::ServerId& aServer,
                                      std::size_t aHost) -> void
{
  hosts_[aHost].dispatcher_->SetClosed(aServer, true);
  events_.After(kProbePeriod, [this, aServer, aHost] {
    if (servers_.at(aServer)->IsDown()) {
      OnUnreachable(aServer, aHost);
    } else {
      hosts_[aHost].dispatcher_->SetClosed(aServer, false);
      Pump(aHost);
    }
  });
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::OnDone(const AttemptId& aId) -> void
{
  const auto node = attempts_.extract(aId);
  if (node.empty()) {
    return;
  }
  const auto& attempt = node.mapped();
  auto& host = hosts_[attempt.host_];
  host.dispatcher_->OnFinish(aId, goldcrestcroft::Finish::Completed,
                             events_.Now());
  auto& request = requests_[attempt.request_];
  request.active_.erase(aId);
  if (!request.ended_) {
    host.budget_.OnSuccess();
    for (const auto& loser : std::exchange(request.active_, {})) {
      CancelAttempt(loser);
    }
    const auto& stage = request.offered_.stages_[request.stage_];
    // This time counts as useful if the request is answered in time. It is the
    // service time on an idle server of normal speed.
    request.spent_[serverConfigs_.at(attempt.server_).pool_.value_] +=
      stage.service_;
    request.attempts_ = 0;
    request.firstToken_ = events_.Now() - stage.service_ + Duration{ 13'000 };
    if (++request.stage_ == request.offered_.stages_.size()) {
      EndRequest(attempt.request_, true, false);
    } else {
      SubmitStage(attempt.request_, {});
    }
  }
  Pump(attempt.host_);
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::OnLost(const AttemptId& aId) -> void
{
  const auto node = attempts_.extract(aId);
  if (node.empty()) {
    return;
  }
  const auto& attempt = node.mapped();
  hosts_[attempt.host_].dispatcher_->OnFinish(
    aId, goldcrestcroft::Finish::Failed, events_.Now());
  auto& request = requests_[attempt.request_];
  request.active_.erase(aId);
  if (request.ended_ || !request.active_.empty()) {
    return;
  }
  if (request.attempts_ < kMaxAttempts) {
    ++result_.extraAttempts_;
    SubmitStage(attempt.request_, attempt.server_);
    Pump(attempt.host_);
  } else {
    EndRequest(attempt.request_, false, false);
  }
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::ScheduleHedge(const AttemptId& aId) -> void
{
  if (!options_.dispatcher_.ejection_) {
    return; // The baselines do not hedge.
  }
  constexpr Duration kMinHedgeDelay = std::chrono::milliseconds{ 10 };
  constexpr int kSlowFactor = 3;
  const auto& attempt = attempts_.at(aId);
  const auto& request = requests_[attempt.request_];
  const auto& stage = request.offered_.stages_[request.stage_];
  const auto expected = hosts_[attempt.host_].dispatcher_->ExpectedService(
    stage.pool_, stage.size_);
  events_.After(std::max(kMinHedgeDelay, kSlowFactor * expected), [this, aId] {
    const auto found = attempts_.find(aId);
    if (found == attempts_.end()) {
      return;
    }
    const auto original = found->second;
    auto& slow = requests_[original.request_];
    auto& host = hosts_[original.host_];
    if (slow.ended_ || slow.active_.size() != 1 || !host.budget_.TryTake()) {
      return;
    }
    const AttemptId copy{ aId.value_ + "h" };
    const auto assignment = host.dispatcher_->Hedge(aId, copy, events_.Now());
    if (assignment) {
      ++result_.extraAttempts_;
      slow.active_.insert(copy);
      attempts_[copy] = { .request_ = original.request_,
                          .host_ = original.host_ };
      Send(*assignment);
    }
  });
}

} // namespace bench

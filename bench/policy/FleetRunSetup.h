#pragma once

#include "FleetRun.h"

namespace bench {

inline constexpr Duration kSameZoneDelay{ 250 };
inline constexpr Duration kTickPeriod = std::chrono::milliseconds{ 5 };
inline constexpr Duration kDispatcherTickPeriod =
  std::chrono::milliseconds{ 50 };
inline constexpr Duration kReportPeriod = std::chrono::milliseconds{ 100 };
inline constexpr Duration kProbePeriod = std::chrono::milliseconds{ 500 };
inline constexpr Duration kCallerRetry = std::chrono::milliseconds{ 100 };
inline constexpr int kMaxAttempts = 3;

template<goldcrestcroft::RoutingPolicy Routing>
FleetRun<Routing>::FleetRun(Options aOptions)
  : options_(std::move(aOptions))
  , config_(MakeConfiguration(options_.scenario_.deployment_))
  , start_(events_.Now())
  , random_(options_.scenario_.seed_ + 1)
{
  const auto hosts = options_.oracle_ ? 1 : options_.scenario_.hosts_;
  for (auto i = 0; i < hosts; ++i) {
    auto options = options_.dispatcher_;
    options.host_ = { "h" + std::to_string(i) };
    options.zone_ = { options_.oracle_ ? ""
                                       : ZoneOf(static_cast<std::size_t>(i)) };
    hosts_.push_back({ .dispatcher_ = std::make_unique<Dispatcher>(
                         options, Routing(), 100 + i),
                       .budget_ = goldcrestcroft::RetryBudget(
                         { .share_ = options_.retryShare_ }) });
    hosts_.back().dispatcher_->Adopt(config_);
  }
  for (const auto& pool : config_.Pools()) {
    for (const auto& server : pool.servers_) {
      servers_[server.id_] =
        std::make_unique<FakeServer>(events_, server.slots_);
      serverConfigs_[server.id_] = server;
    }
  }
  for (auto& offered : MakeWorkload(options_.scenario_, start_)) {
    requests_.push_back({ .offered_ = std::move(offered) });
  }
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::Run() -> RunResult
{
  constexpr Duration kDrain = std::chrono::seconds{ 10 };
  ScheduleAll();
  ScheduleFaults();
  events_.RunUntil(start_ + options_.scenario_.length_ + kDrain);
  result_.seconds_ =
    std::chrono::duration<double>(options_.scenario_.length_).count();
  for (const auto& pool : config_.Pools()) {
    for (const auto& server : pool.servers_) {
      result_.paid_[pool.id_.value_] += result_.seconds_ * server.slots_;
      result_.spent_[pool.id_.value_] +=
        std::chrono::duration<double>(servers_.at(server.id_)->BusyTime())
          .count();
    }
  }
  return result_;
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::ScheduleAll() -> void
{
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    events_.At(requests_[i].offered_.arrival_, [this, i] { Arrive(i); });
  }
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    const auto offset = Duration(
      static_cast<Duration::rep>(goldcrestcroft::UniformBelow(random_, 5000)));
    events_.After(offset, [this, host] { Tick(host); });
    if (!options_.oracle_) {
      events_.After(100 * offset, [this, host] { Gossip(host); });
    }
  }
  events_.After(kReportPeriod, [this] { ReportLoads(); });
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::ScheduleFaults() -> void
{
  const auto& scenario = options_.scenario_;
  const auto third = scenario.length_ / 3;
  if (scenario.straggler_) {
    constexpr double kSlowdown = 6.0;
    auto& victim = *servers_.at({ "shared-1" });
    events_.At(start_ + third / 2,
               [&victim] { victim.SetSlowness(kSlowdown); });
    events_.At(start_ + 2 * third, [&victim] { victim.SetSlowness(1.0); });
  }
  if (scenario.zoneLost_) {
    for (auto& [id, server] : servers_) {
      if (serverConfigs_.at(id).zone_.value_ != "zone-0") {
        continue;
      }
      auto* victim = server.get();
      events_.At(start_ + third, [this, victim] {
        victim->Crash([this](const AttemptId& aId) { OnLost(aId); });
      });
      events_.At(start_ + 2 * third, [victim] { victim->Restart(); });
    }
  }
  if (scenario.hostLost_ && !options_.oracle_) {
    events_.At(start_ + third, [this] {
      hosts_[0].alive_ = false;
      // The connections of the host break, so the servers cancel its attempts.
      // Callers with requests at this host retry at another host.
      for (std::size_t i = 0; i < requests_.size(); ++i) {
        auto& request = requests_[i];
        const auto began = request.offered_.arrival_ <= events_.Now();
        if (request.host_ != 0 || request.ended_ || !began) {
          continue;
        }
        for (const auto& id : std::exchange(request.active_, {})) {
          CancelAttempt(id);
        }
        request.stage_ = 0;
        request.attempts_ = 0;
        events_.After(kCallerRetry, [this, i] { Arrive(i); });
      }
    });
    constexpr Duration kGoneAfter = std::chrono::seconds{ 8 };
    events_.At(start_ + third + kGoneAfter, [this] {
      for (std::size_t host = 1; host < hosts_.size(); ++host) {
        hosts_[host].dispatcher_->OnPeerGone({ "h0" });
      }
    });
  }
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::PickHost() -> std::size_t
{
  while (true) {
    const auto host = goldcrestcroft::UniformBelow(random_, hosts_.size());
    if (hosts_[host].alive_) {
      return host;
    }
  }
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::NetworkDelay(const goldcrestcroft::ServerId& aServer,
                                     std::size_t aHost) const -> Duration
{
  const auto sameZone =
    options_.oracle_ ||
    serverConfigs_.at(aServer).zone_.value_ == ZoneOf(aHost);
  return sameZone ? kSameZoneDelay
                  : options_.scenario_.deployment_.interZoneDelay_;
}

template<goldcrestcroft::RoutingPolicy Routing>
auto FleetRun<Routing>::Forecast(const Request& aRequest) const
  -> std::vector<goldcrestcroft::StageForecast>
{
  std::vector<goldcrestcroft::StageForecast> forecast;
  const auto& stages = aRequest.offered_.stages_;
  for (auto i = aRequest.stage_; i < stages.size(); ++i) {
    // As in the entry host, the input size of a rerank stage is unknown until
    // the stage starts.
    const auto known =
      i == aRequest.stage_ || stages[i].pool_.value_ != "rerankers";
    forecast.push_back(
      { .pool_ = stages[i].pool_,
        .size_ = known ? std::optional(stages[i].size_) : std::nullopt });
  }
  return forecast;
}

} // namespace bench

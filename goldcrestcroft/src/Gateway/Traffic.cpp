#include "Traffic.h"

#include "../Observability/Log.h"
#include "BackgroundTask.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace goldcrestcroft {

Traffic::Traffic(asio::io_context& aContext, TrafficOptions aOptions,
                 const PlatformCodec& aCodec, MetadataStore& aStore,
                 GatewayMetrics& aMetrics, PeerCallbacks aPeerCallbacks)
  : context_(aContext)
  , options_(std::move(aOptions))
  , codec_(aCodec)
  , metrics_(aMetrics)
  , peerCallbacks_(std::move(aPeerCallbacks))
  , pool_(
      aContext,
      { .maxBackoff_ = options_.settings_.maxEngineBackoff_,
        .headers_ = aCodec.Headers(),
        .onLeaving_ =
          [this](const EngineEntry& aEngine) {
            peerCallbacks_.leaving_(
              { .id_ = aEngine.id_, .startedAt_ = aEngine.startedAt_ });
          },
        .onLimit_ =
          [this](const EngineLimit& aWord) { peerCallbacks_.limit_(aWord); },
        .permit_ =
          [this](RateLimits aLimits, Duration aMaxWait) {
            return RequestPermit(std::move(aLimits), aMaxWait);
          },
        .onSilent_ =
          [this](const EngineEntry& aEngine) {
            outages_.OnSilent(aEngine.service_);
          },
        .count_ =
          [this](const std::string& aEvent) { metrics_.Count(aEvent); } })
  , outages_(aContext,
             { .host_ = options_.settings_.host_,
               .healthPath_ =
                 [this](const std::string& aService) {
                   const auto* profile = routing_->FindService(aService);
                   return profile != nullptr ? profile->healthPath_ : "";
                 },
               .hosts_ = [this] { return fleet_->hosts_.size(); } },
             pool_)
  , batcher_(aContext, {}, pool_, aCodec)
  , broker_(aContext, options_.settings_.StageAddress(), batcher_)
  , versions_(aContext,
              { .host_ = options_.settings_.host_,
                .hosts_ = [this] { return fleet_->hosts_.size(); },
                .removes_ = [this] { return IsFirstHost(); } },
              aStore, aMetrics)
{
  Memory().SetOptions(options_.settings_.Memory());
}

auto Traffic::Start(const BindRetry& aRetry) -> Result<void>
{
  BOOST_LEAF_CHECK(broker_.Start(aRetry));
  BOOST_LEAF_AUTO(acceptor,
                  Listen(context_, options_.settings_.callers_, aRetry));
  acceptor_.emplace(std::move(acceptor));
  versions_.Start();
  asio::co_spawn(context_,
                 KeepRunning("accept_callers", [this] { return Accept(); }),
                 LogFailure{ "accept_callers" });
  asio::co_spawn(context_,
                 KeepRunning("watch_loop", [this] { return MeasureLoopLag(); }),
                 LogFailure{ "watch_loop" });
  return {};
}

auto Traffic::MeasureLoopLag() -> Task<void>
{
  constexpr auto kPeriod = std::chrono::milliseconds{ 250 };
  // Shorter lags are common where a host has a tenth of a core.
  constexpr auto kLogThreshold = std::chrono::milliseconds{ 200 };
  asio::steady_timer timer(context_);
  for (;;) {
    const auto due = Now() + kPeriod;
    timer.expires_after(kPeriod);
    co_await timer.async_wait(kAsTuple);
    const auto late = std::max(Now() - due, Duration{});
    metrics_.ObserveLag("traffic", late);
    if (late >= kLogThreshold) {
      Log::Write(LogLevel::Warning, "loop_late",
                 { { "late_ms", std::to_string(ToMilliseconds(late)) },
                   { "requests", std::to_string(runs_.size()) },
                   { "configuration", std::to_string(routing_->Version()) } });
    }
  }
}

auto Traffic::Accept() -> Task<void>
{
  // Pause while no file descriptor is free or the limit of callers is reached.
  constexpr auto kAcceptRetryDelay = std::chrono::milliseconds{ 20 };
  for (;;) {
    auto [error, socket] = co_await acceptor_->async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error || (callers_.size() >= options_.settings_.CallerLimit() &&
                  !CloseLongestIdle() && !CloseIncompleteRequest())) {
      metrics_.Count("callers_turned_away");
      asio::steady_timer timer(context_, kAcceptRetryDelay);
      co_await timer.async_wait(kAsTuple);
      continue;
    }
    StartCaller(std::move(socket));
  }
}

auto Traffic::StartCaller(Tcp::socket aSocket) -> void
{
  const auto caller =
    std::make_shared<CallerConnection>(std::move(aSocket), *this);
  callers_.insert(caller);
  asio::co_spawn(context_, caller->Run(), LogFailure{ "caller" });
}

auto Traffic::CloseLongestIdle() -> bool
{
  // The longest idle first: a connection that was just opened is about to send
  // its request.
  std::vector<std::shared_ptr<CallerConnection>> idle;
  std::copy_if(callers_.begin(), callers_.end(), std::back_inserter(idle),
               [](const auto& aCaller) { return aCaller->IdleSince(); });
  const auto later = [](const auto& aLeft, const auto& aRight) {
    return aLeft->IdleSince() > aRight->IdleSince();
  };
  std::make_heap(idle.begin(), idle.end(), later);
  while (!idle.empty()) {
    std::pop_heap(idle.begin(), idle.end(), later);
    const auto longest = std::move(idle.back());
    idle.pop_back();
    if (longest->IsIdle()) {
      longest->End(CallerCloseReason::EvictedIdle);
      callers_.erase(longest);
      metrics_.Count("idle_callers_dropped");
      return true;
    }
  }
  return false;
}

auto Traffic::CloseIncompleteRequest() -> bool
{
  std::vector<ReadingConnection> reading;
  std::vector<std::shared_ptr<CallerConnection>> callers;
  for (const auto& caller : callers_) {
    if (const auto since = caller->ReadingSince()) {
      reading.push_back({ .client_ = caller->Client(), .since_ = *since });
      callers.push_back(caller);
    }
  }
  const auto chosen = ChooseConnectionToClose(reading);
  if (!chosen) {
    return false;
  }
  callers[*chosen]->End(CallerCloseReason::EvictedIncomplete);
  callers_.erase(callers[*chosen]);
  return true;
}

auto Traffic::OnCallerEnd(const std::shared_ptr<CallerConnection>& aCaller)
  -> void
{
  callers_.erase(aCaller);
}

auto Traffic::SetRouting(std::shared_ptr<const RoutingTable> aRouting) -> void
{
  const auto startedAt = Now();
  routing_ = std::move(aRouting);
  limits_.OnLimits(routing_->Limits(), startedAt);
  std::set<std::string> names;
  for (const auto& route : routing_->Routes()) {
    names.insert(route.name_);
  }
  const auto unknown = [&](const auto& aItem) {
    return !names.contains(aItem.first);
  };
  std::erase_if(firstEvents_, unknown);
  std::erase_if(answerTimes_, unknown);
  batcher_.SetRouting(routing_);
  pool_.SetWarmUpRates(routing_->WarmUpRates());
  UpdateVersions();
  const auto& limits = routing_->Limits();
  Log::Write(
    LogLevel::Info, "configuration_in_force",
    { { "version", std::to_string(routing_->Version()) },
      { "routes", std::to_string(routing_->Routes().size()) },
      { "took_ms", std::to_string(ToMilliseconds(Now() - startedAt)) },
      { "requests", std::to_string(runs_.size()) },
      { "idle_ms", std::to_string(ToMilliseconds(limits.idleTimeout_)) },
      { "header_ms", std::to_string(ToMilliseconds(limits.headerTimeout_)) } });
}

auto Traffic::SetEngines(std::shared_ptr<const EngineList> aEngines) -> void
{
  hasEngineList_ = true;
  pool_.SetEngines(std::move(aEngines));
  ReportLostRuns(crashDetector_.OnEngines(pool_.Engines(), Now()),
                 "entry_ended");
  batcher_.OnEngines();
  UpdateVersions();
}

auto Traffic::UpdateVersions() -> void
{
  std::set<std::string> services;
  for (const auto& route : routing_->Routes()) {
    if (route.kind_ == RouteKind::Streaming && route.resumable_) {
      for (const auto& target : route.split_) {
        services.insert(target.service_);
      }
    }
  }
  versions_.OnEngines(pool_.Engines(), services);
}

auto Traffic::IsFirstHost() const -> bool
{
  const std::string* first = nullptr;
  std::uint64_t largest = 0;
  for (const auto& host : fleet_->hosts_) {
    const auto weight = RendezvousWeight("stream_versions", host.id_);
    if (!host.leaving_ && (first == nullptr || weight > largest)) {
      first = &host.id_;
      largest = weight;
    }
  }
  return first != nullptr && *first == fleet_->self_;
}

auto Traffic::SetFleet(std::shared_ptr<const FleetView> aFleet) -> void
{
  fleet_ = std::move(aFleet);
  broker_.SetFleet(fleet_);
}

auto Traffic::OnLeaving(const LeavingEngine& aEngine) -> void
{
  Log::Write(LogLevel::Info, "engine_leaving_elsewhere",
             { { "engine", aEngine.id_ },
               { "started_at", std::to_string(aEngine.startedAt_) } });
  pool_.OnLeaving(aEngine.id_, aEngine.startedAt_);
}

auto Traffic::SetSettings(const NodeSettings& aSettings) -> void
{
  options_.settings_ = aSettings;
  Memory().SetOptions(aSettings.Memory());
  for (auto& [service, window] : retryWindows_) {
    window.SetBudget(aSettings.retryRatio_, aSettings.retrySlack_);
  }
}

auto Traffic::RecordRejected(const LocalReply& aAnswer,
                             const std::string& aClient) -> void
{
  metrics_.CountAnswer("none", aAnswer.reason_, {});
  const auto suppressed = logThrottle_.OnEvent(aAnswer.reason_, Now());
  if (!suppressed) {
    return;
  }
  Log::Write(LogLevel::Info, "request_rejected",
             { { "status", std::to_string(aAnswer.status_) },
               { "reason", aAnswer.reason_ },
               { "detail", aAnswer.message_ },
               { "client", aClient },
               { "held_requests", std::to_string(Memory().Requests()) },
               { "held_bytes", std::to_string(Memory().Total()) },
               { "callers", std::to_string(callers_.size()) },
               { "suppressed", std::to_string(*suppressed) } });
}

auto Traffic::MakeAnswer(const LocalReply& aAnswer,
                         const std::string& aRequestId) const
  -> http::response<http::string_body>
{
  http::response<http::string_body> answer(
    static_cast<http::status>(aAnswer.status_), 11);
  answer.set(http::field::content_type, "application/json");
  if (!aRequestId.empty()) {
    answer.set(codec_.Headers().requestId_, aRequestId);
  }
  if (aAnswer.retryAfter_) {
    answer.set(
      http::field::retry_after,
      fmt::format("{:.3f}", ToMilliseconds(*aAnswer.retryAfter_) / 1000.0));
  }
  if (aAnswer.closes_ || stopping_) {
    answer.set(http::field::connection, "close");
  }
  answer.body() = fmt::format(R"({{"reason":"{}","message":"{}"}})",
                              aAnswer.reason_, aAnswer.message_);
  answer.prepare_payload();
  return answer;
}

auto Traffic::RetryWindowOf(const std::string& aService) -> RetryWindow&
{
  const auto& settings = options_.settings_;
  return retryWindows_
    .try_emplace(aService, RetryWindow({ .window_ = settings.retryWindow_,
                                         .ratio_ = settings.retryRatio_,
                                         .slack_ = settings.retrySlack_ }))
    .first->second;
}

auto Traffic::CountRequest(const std::string& aService) -> void
{
  RetryWindowOf(aService).OnRequest(Now());
}

auto Traffic::TryTakeRetry(const std::string& aService) -> bool
{
  const auto allowed =
    RetryWindowOf(aService).TryTake(fleet_->hosts_.size(), Now());
  metrics_.Count(allowed ? "repeats_sent" : "repeats_denied");
  return allowed;
}

} // namespace goldcrestcroft

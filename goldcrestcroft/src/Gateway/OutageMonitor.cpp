#include "OutageMonitor.h"

#include "../Observability/Log.h"
#include "BackgroundTask.h"

namespace goldcrestcroft {

auto OutageMonitor::OnSilent(const std::string& aService) -> void
{
  if (watched_.contains(aService)) {
    return;
  }
  const auto engines = EnginesOf(aService);
  if (engines.empty()) {
    outages_.erase(aService);
    return;
  }
  constexpr auto kSteps = 1U << 20U;
  const ServiceOutage::Options options{
    .position_ =
      static_cast<double>(Fingerprint(options_.host_ + aService) % kSteps) /
      kSteps
  };
  auto& outage =
    outages_.try_emplace(aService, ServiceOutage(options)).first->second;
  outage.Update(engines, clock_.Now());
  if (!outage.IsOut()) {
    return;
  }
  pool_.Count("service_outages");
  Log::Write(
    LogLevel::Warning, "service_out",
    { { "service", aService }, { "engines", std::to_string(engines.size()) } });
  watched_.insert(aService);
  asio::co_spawn(context_, Watch(aService), LogFailure{ "watch_outage" });
}

auto OutageMonitor::EnginesOf(const std::string& aService)
  -> std::vector<ServiceOutage::Engine>
{
  const auto now = clock_.Now();
  std::vector<ServiceOutage::Engine> engines;
  for (const auto& entry : pool_.Engines().EnginesOf(aService)) {
    const auto state = pool_.StateOf(entry);
    // A call would count against an engine's rate limit.
    const auto mayReceive =
      state->availability_.MayReceive(now) && !state->limit_;
    engines.push_back({ .id_ = entry.id_,
                        .silent_ = state->health_.IsSilent(),
                        .mayReceive_ = mayReceive });
  }
  return engines;
}

auto OutageMonitor::Find(const std::string& aService,
                         const std::string& aEngine)
  -> std::shared_ptr<EngineState>
{
  for (const auto& entry : pool_.Engines().EnginesOf(aService)) {
    if (entry.id_ == aEngine) {
      return pool_.StateOf(entry);
    }
  }
  return nullptr;
}

auto OutageMonitor::Ask(std::string aService, std::string aEngine) -> Task<void>
{
  const auto state = Find(aService, aEngine);
  const auto path = options_.healthPath_(aService);
  const auto responds =
    co_await pool_.IsResponding(state, path, options_.timeout_);
  const auto now = clock_.Now();
  outages_.at(aService).OnAsked(aEngine, now);
  pool_.Count(responds ? "outage_calls_answered" : "outage_calls_unanswered");
  if (responds && state->health_.IsSilent()) {
    Log::Write(
      LogLevel::Info, "engine_returned",
      { { "engine", aEngine },
        { "service", aService },
        { "suspension_left_ms", std::to_string(ToMilliseconds(
                                  state->health_.SuspensionLeft(now))) } });
    state->health_.OnResponding(now);
  }
}

auto OutageMonitor::AskWhileOut(std::string aService) -> Task<void>
{
  for (;;) {
    const auto engines = EnginesOf(aService);
    auto& outage = outages_.at(aService);
    outage.Update(engines, clock_.Now());
    if (outage.IsOver()) {
      co_return;
    }
    const auto next = outage.Next(engines, options_.hosts_(), clock_.Now());
    if (next) {
      co_await Ask(aService, *next);
    } else {
      asio::steady_timer timer(context_, options_.checkInterval_);
      co_await timer.async_wait(kAsTuple);
    }
  }
}

auto OutageMonitor::Watch(std::string aService) -> Task<void>
{
  const auto begunAt = clock_.Now();
  std::exception_ptr failure;
  try {
    co_await AskWhileOut(aService);
  } catch (...) {
    failure = std::current_exception();
  }
  watched_.erase(aService);
  Log::Write(
    LogLevel::Info, "service_out_ended",
    { { "service", aService },
      { "after_ms", std::to_string(ToMilliseconds(clock_.Now() - begunAt)) } });
  if (failure) {
    std::rethrow_exception(failure);
  }
}

} // namespace goldcrestcroft

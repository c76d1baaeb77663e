#include "../Observability/Log.h"
#include "StageBatcher.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

namespace goldcrestcroft {

auto StageBatcher::RatePlan(const Service& aService) const -> ServiceRate::Plan
{
  const auto now = clock_.Now();
  const auto callTime =
    std::chrono::duration<double>(aService.profile_.callTime_).count();
  auto usable = 0.0;
  for (const auto& [id, engine] : aService.engines_) {
    const auto& state = *engine->state_;
    if (state.health_.IsUsable(now) && state.availability_.MayReceive(now)) {
      usable += state.limit_ ? std::min(*state.limit_ * callTime, 1.0) : 1.0;
    }
  }
  return { .engines_ = static_cast<std::size_t>(std::ceil(usable)),
           .batch_ = aService.profile_.batch_,
           .callTime_ = aService.profile_.callTime_,
           .pieceTime_ = aService.profile_.pieceTime_ };
}

auto StageBatcher::Backlogs() -> std::vector<StageBacklog>
{
  const auto now = clock_.Now();
  std::vector<StageBacklog> backlogs;
  for (auto& [name, service] : services_) {
    service.rate_.OnWaiting(service.queue_.Waiting() > 0, now);
    const auto rate = service.rate_.PerSecond(RatePlan(service), now);
    StageBacklog backlog{ .service_ = name };
    for (const auto& [rank, dueIn] : service.dueIn_) {
      const auto before =
        static_cast<double>(service.queue_.CountBefore(rank, now + dueIn, now));
      backlog.waits_[rank] = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(before / rate));
    }
    backlogs.push_back(std::move(backlog));
  }
  return backlogs;
}

auto StageBatcher::LogBacklog(const Service& aService) -> void
{
  const auto now = clock_.Now();
  std::string engines;
  for (const auto& [id, engine] : aService.engines_) {
    const auto& availability = engine->state_->availability_;
    const auto* state = availability.IsLeaving()                 ? "leaving"
                        : !availability.MayReceive(now)          ? "asks_pause"
                        : !availability.IsEligible({}, now)      ? "limited"
                        : !engine->state_->health_.IsUsable(now) ? "suspended"
                        : engine->busy_                          ? "busy"
                        : now < engine->pausedUntil_             ? "paused"
                                                                 : "free";
    engines += fmt::format("{}{}:{}:{:.1f}MB", engines.empty() ? "" : " ", id,
                           state, engine->resultMemory_.Free() / 1e6);
  }
  Log::Write(LogLevel::Info, "stage_backlog",
             { { "service", aService.name_ },
               { "pieces", std::to_string(aService.queue_.Waiting()) },
               { "orders", std::to_string(aService.queue_.Orders().size()) },
               { "engines", engines } });
}

} // namespace goldcrestcroft

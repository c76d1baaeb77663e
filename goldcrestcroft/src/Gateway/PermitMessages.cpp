#include "PermitMessages.h"

#include <algorithm>

namespace goldcrestcroft {

auto ToReport(const EngineLimit& aLimit, TimePoint aNow) -> EngineLimitReport
{
  return { .engine_ = aLimit.engine_,
           .startedAt_ = aLimit.startedAt_,
           .perSecond_ = aLimit.perSecond_,
           .statedAgo_ = aNow - aLimit.statedAt_ };
}

auto FromReport(const EngineLimitReport& aReport, TimePoint aNow) -> EngineLimit
{
  // The age is limited to more than any host remembers, and is not negative, so
  // that no time is in the future.
  constexpr Duration kOldest = std::chrono::hours{ 2 };
  return { .engine_ = aReport.engine_,
           .startedAt_ = aReport.startedAt_,
           .perSecond_ = aReport.perSecond_,
           .statedAt_ =
             aNow - std::clamp(aReport.statedAgo_, Duration{}, kOldest) };
}

auto ToQuery(const PermitRequest& aRequest, TimePoint aNow) -> PermitQuery
{
  const auto& limits = aRequest.limits_;
  const EngineLimit none{ .engine_ = limits.engine_,
                          .startedAt_ = limits.startedAt_ };
  return { .limit_ = ToReport(limits.advertised_.value_or(none), aNow),
           .maxWait_ = aRequest.maxWait_,
           .warmUpPerSecond_ = limits.warmUpPerSecond_ };
}

auto RateOf(const PermitQuery& aQuery, const std::optional<EngineLimit>& aKnown)
  -> std::optional<double>
{
  return RateLimits{ .advertised_ = aKnown,
                     .warmUpPerSecond_ = aQuery.warmUpPerSecond_ }
    .PerSecond();
}

} // namespace goldcrestcroft

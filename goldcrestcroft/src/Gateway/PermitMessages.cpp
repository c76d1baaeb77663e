#include "PermitMessages.h"

#include <algorithm>

namespace goldcrestcroft {

auto ToReport(const EngineLimit& aWord, TimePoint aNow) -> EngineLimitReport
{
  return { .engine_ = aWord.engine_,
           .startedAt_ = aWord.startedAt_,
           .perSecond_ = aWord.perSecond_,
           .statedAgo_ = aNow - aWord.statedAt_ };
}

auto FromReport(const EngineLimitReport& aReport, TimePoint aNow) -> EngineLimit
{
  // Beyond what any host remembers, and never in the future.
  constexpr Duration kOldest = std::chrono::hours{ 2 };
  return { .engine_ = aReport.engine_,
           .startedAt_ = aReport.startedAt_,
           .perSecond_ = aReport.perSecond_,
           .statedAt_ =
             aNow - std::clamp(aReport.statedAgo_, Duration{}, kOldest) };
}

} // namespace goldcrestcroft

#include "LostRunReport.h"

#include <algorithm>

namespace goldcrestcroft {

auto ToReport(const LostRun& aRun, TimePoint aNow) -> LostRunReport
{
  return { .request_ = aRun.request_,
           .run_ = aRun.run_,
           .beganAgo_ = aNow - aRun.began_,
           .endedAgo_ = aNow - aRun.ended_,
           .lastPart_ = aRun.lastPart_,
           .responding_ = aRun.responding_ };
}

auto ToReport(const UnansweredRun& aRun, TimePoint aNow) -> UnansweredReport
{
  return { .run_ = ToReport(aRun.run_, aNow),
           .engine_ = aRun.engine_,
           .startedAt_ = aRun.startedAt_ };
}

auto FromReport(const LostRunReport& aReport, TimePoint aNow) -> LostRun
{
  // Ages are limited to more than any host remembers, and are not negative, so
  // that no time is in the future.
  constexpr Duration kOldest = std::chrono::hours{ 1 };
  const auto ended = std::clamp(aReport.endedAgo_, Duration{}, kOldest);
  const auto began = std::clamp(aReport.beganAgo_, ended, kOldest);
  return { .request_ = aReport.request_,
           .run_ = aReport.run_,
           .began_ = aNow - began,
           .ended_ = aNow - ended,
           .lastPart_ = aReport.lastPart_,
           .responding_ = aReport.responding_ };
}

auto FromReport(const UnansweredReport& aReport, TimePoint aNow)
  -> UnansweredRun
{
  return { .run_ = FromReport(aReport.run_, aNow),
           .engine_ = aReport.engine_,
           .startedAt_ = aReport.startedAt_,
           .connectionBroke_ = true };
}

} // namespace goldcrestcroft

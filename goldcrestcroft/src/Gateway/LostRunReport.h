#pragma once

#include "../../Engines.h"

namespace goldcrestcroft {

/** \brief A LostRun as it is told; ages, since hosts share no clock. */
struct LostRunReport
{
  std::uint64_t request_ = 0;
  std::uint64_t run_ = 0;
  Duration beganAgo_{};
  Duration endedAgo_{};

  auto operator<=>(const LostRunReport&) const = default;
};

auto ToReport(const LostRun& aRun, TimePoint aNow) -> LostRunReport;
auto FromReport(const LostRunReport& aReport, TimePoint aNow) -> LostRun;

} // namespace goldcrestcroft

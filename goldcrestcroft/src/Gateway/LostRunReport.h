#pragma once

#include "../../Engines.h"

namespace goldcrestcroft {

/** \brief A LostRun as it is sent to peers; with ages, since hosts share no
 * clock. */
struct LostRunReport
{
  std::uint64_t request_ = 0;
  std::uint64_t run_ = 0;
  Duration beganAgo_{};
  Duration endedAgo_{};
  std::uint64_t lastPart_ = 0;
  bool responding_ = false;

  auto operator<=>(const LostRunReport&) const = default;
};

/** \brief An UnansweredRun as it is sent to peers. */
struct UnansweredReport
{
  LostRunReport run_;
  std::string engine_;
  std::uint64_t startedAt_ = 0;

  auto operator<=>(const UnansweredReport&) const = default;
};

auto ToReport(const LostRun& aRun, TimePoint aNow) -> LostRunReport;
auto ToReport(const UnansweredRun& aRun, TimePoint aNow) -> UnansweredReport;
auto FromReport(const LostRunReport& aReport, TimePoint aNow) -> LostRun;
auto FromReport(const UnansweredReport& aReport, TimePoint aNow)
  -> UnansweredRun;

} // namespace goldcrestcroft

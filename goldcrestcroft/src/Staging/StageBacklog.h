#pragma once

#include "../../Core.h"

#include <map>
#include <string>

namespace goldcrestcroft {

/** \brief How long a fresh order of each rank would wait at a stage service, as
 * its collector forecasts it. */
struct StageBacklog
{
  std::string service_;
  std::map<int, Duration> waits_;

  auto operator<=>(const StageBacklog&) const = default;

  /** \brief The wait of a rank; that of the nearest more urgent one where it
   * was not forecast. */
  [[nodiscard]] auto WaitOf(int aRank) const -> Duration
  {
    auto wait = Duration{};
    for (const auto& [rank, its] : waits_) {
      if (rank <= aRank) {
        wait = its;
      }
    }
    return wait;
  }
};

} // namespace goldcrestcroft

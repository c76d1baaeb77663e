#pragma once

#include "../../Core.h"

#include <map>
#include <string>

namespace goldcrestcroft {

/** \brief How long a new order of each rank would wait at a stage service, as
 * forecast by its batch coordinator. */
struct StageBacklog
{
  std::string service_;
  std::map<int, Duration> waits_;

  auto operator<=>(const StageBacklog&) const = default;

  /** \brief Returns the wait of a rank, or that of the nearest more urgent rank
   * if this one was not forecast. */
  [[nodiscard]] auto WaitOf(int aRank) const -> Duration
  {
    auto wait = Duration{};
    for (const auto& [rank, rankWait] : waits_) {
      if (rank <= aRank) {
        wait = rankWait;
      }
    }
    return wait;
  }
};

} // namespace goldcrestcroft

#include "StageAdmission.h"

#include <algorithm>

namespace goldcrestcroft {

auto StageAdmission::AllowedWait(const ChainForecast& aForecast,
                                 Duration aObjective, int aRank) const
  -> Duration
{
  const auto spare =
    aObjective - firstEvent_ - (aForecast.total_ - aForecast.waiting_);
  const auto share = std::max(
    maxSpareShare_ - spareSharePerRank_ * std::max(aRank - kUrgentRank, 0),
    minSpareShare_);
  const auto allowed = Duration(
    static_cast<Duration::rep>(static_cast<double>(spare.count()) * share));
  return std::max(allowed, alwaysAllowedWait_);
}

} // namespace goldcrestcroft

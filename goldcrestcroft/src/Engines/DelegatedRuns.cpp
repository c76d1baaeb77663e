#include "DelegatedRuns.h"

namespace goldcrestcroft {

auto DelegatedRuns::Add(const UnansweredRun& aRun, const std::string& aHost)
  -> void
{
  if (runs_.size() >= options_.capacity_) {
    runs_.pop_front();
  }
  runs_.push_back({ .run_ = aRun, .host_ = aHost });
}

} // namespace goldcrestcroft

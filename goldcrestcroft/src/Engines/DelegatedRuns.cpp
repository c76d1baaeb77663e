#include "DelegatedRuns.h"

#include <algorithm>

namespace goldcrestcroft {

auto DelegatedRuns::Add(const UnansweredRun& aRun, const std::string& aHost,
                        const std::vector<std::string>& aOwners) -> void
{
  const auto isSame = [&](const DelegatedRun& aItem) {
    return aItem.run_.run_.request_ == aRun.run_.request_ &&
           aItem.run_.run_.run_ == aRun.run_.run_;
  };
  if (std::any_of(runs_.begin(), runs_.end(), isSame)) {
    return;
  }
  if (runs_.size() >= options_.capacity_) {
    runs_.pop_front();
  }
  auto& item = runs_.emplace_back();
  item.run_ = aRun;
  item.host_ = aHost;
  item.recipients_ = { aOwners.begin(), aOwners.end() };
  item.recipients_.insert(aHost);
}

} // namespace goldcrestcroft

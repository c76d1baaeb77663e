#include "EngineList.h"

#include <algorithm>

namespace goldcrestcroft {

EngineList::EngineList(const std::vector<EngineEntry>& aEntries,
                       const std::set<std::string>& aEvacuatedZones)
{
  for (const auto& entry : aEntries) {
    listed_[entry.id_] = { .startedAt_ = entry.startedAt_,
                           .draining_ = entry.draining_ };
    versions_[entry.service_].insert(entry.version_);
    if (entry.draining_) {
      continue;
    }
    if (aEvacuatedZones.contains(entry.zone_)) {
      evacuated_.insert(entry.service_);
      continue;
    }
    byService_[entry.service_].push_back(entry);
    ++size_;
  }
}

auto EngineList::EnginesOf(const std::string& aService) const
  -> const std::vector<EngineEntry>&
{
  static const std::vector<EngineEntry> kNone;
  const auto found = byService_.find(aService);
  return found == byService_.end() ? kNone : found->second;
}

auto EngineList::IsRegistered(const std::string& aId,
                              std::uint64_t aStartedAt) const -> bool
{
  const auto found = listed_.find(aId);
  return found != listed_.end() && found->second.startedAt_ == aStartedAt;
}

auto EngineList::IsDraining(const std::string& aId,
                            std::uint64_t aStartedAt) const -> bool
{
  return IsRegistered(aId, aStartedAt) && listed_.at(aId).draining_;
}

auto EngineList::Contains(const EngineEntry& aEngine) const -> bool
{
  const auto& engines = EnginesOf(aEngine.service_);
  return std::any_of(engines.begin(), engines.end(), [&](const auto& aOther) {
    return aOther.id_ == aEngine.id_ && aOther.address_ == aEngine.address_ &&
           aOther.startedAt_ == aEngine.startedAt_ &&
           aOther.version_ == aEngine.version_;
  });
}

auto EngineList::HasVersion(const std::string& aService,
                            const std::string& aVersion) const -> bool
{
  const auto& engines = EnginesOf(aService);
  return std::any_of(engines.begin(), engines.end(), [&](const auto& aEngine) {
    return aEngine.version_ == aVersion;
  });
}

} // namespace goldcrestcroft
